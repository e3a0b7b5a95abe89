package relay

import (
	"encoding/binary"
	"hash/fnv"
	"io"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/waiting"
)

// ticketOf returns the queueing attributes of a request.
func ticketOf(request *Request, route *site.Route, tenant *site.Tenant) waiting.Ticket {
	ticket := waiting.Ticket{
		Class: route.Name, Rank: priorityOf(tenant, route), Arrived: request.Arrived,
		Due: request.Arrived.Add(route.Objective), Deadline: deadlineOf(request, route),
		Prompt: request.Size.Prompt, Answer: request.Size.Answer,
	}
	if ticket.Work() == 0 {
		ticket.Prompt = max(0, request.Size.Tokens)
	}
	if tenant != nil {
		ticket.Tenant = tenant.Name
	}
	return ticket
}

// currentTicket returns the ticket as of now. The next event of a stream that has started is due
// within MaxPause.
func (x *exchange) currentTicket() waiting.Ticket {
	ticket := x.ticket
	if x.isStarted {
		ticket.Due = x.router.now().Add(x.route.MaxPause)
	}
	return ticket
}

// retryDigest identifies a request to the leader across retries by its content, including the
// model, adapter and prompt parts. It is never 0.
func (r *Request) retryDigest(content poison.Digest) uint64 {
	hash := fnv.New64a()
	hash.Write(content[:])
	for _, part := range append([]string{r.Model, r.Adapter}, r.Parts...) {
		io.WriteString(hash, part)
		hash.Write([]byte{0})
	}
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(r.Size.Tokens)))
	return max(1, hash.Sum64())
}
