package relay

import (
	"encoding/binary"
	"hash/fnv"
	"io"

	"github.com/lotusferry/lotusferry/placement/poison"
	"github.com/lotusferry/lotusferry/placement/site"
	"github.com/lotusferry/lotusferry/request/waiting"
)

// ticketOf is what is known of a request that may have to wait.
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

// presentTicket is the ticket of the request now. The next event of a stream that has begun is
// due within the longest pause.
func (x *exchange) presentTicket() waiting.Ticket {
	ticket := x.ticket
	if x.isStarted {
		ticket.Due = x.router.now().Add(x.route.MaxPause)
	}
	return ticket
}

// returnDigest names the request to the leader, so that it is known when its caller comes back: by
// what it asks for, the headers that choose a model and a prompt included. It is never 0.
func (r *Request) returnDigest(content poison.Digest) uint64 {
	hash := fnv.New64a()
	hash.Write(content[:])
	for _, part := range append([]string{r.Model, r.Adapter}, r.Parts...) {
		io.WriteString(hash, part)
		hash.Write([]byte{0})
	}
	hash.Write(binary.LittleEndian.AppendUint64(nil, uint64(r.Size.Tokens)))
	return max(1, hash.Sum64())
}
