package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/request/engineapi"
)

const (
	// inquiryTimeout bounds one status call to an engine. It is shorter than
	// controller.DefaultResendAfter, so that calls do not accumulate.
	inquiryTimeout = 800 * time.Millisecond
	// maxInquiries bounds concurrent status calls; the controller repeats inquiries
	// that were not sent.
	maxInquiries = 128
)

// claimInquiries queries engines for the state of requests whose router does not
// respond.
type claimInquiries struct {
	logger  log.Logger
	engines *engineapi.Client

	running sync.WaitGroup
	mutex   sync.Mutex
	asking  int
	replies []controller.InquiryReply
	// answered is signalled when a reply arrives.
	answered notifier
}

// send starts a goroutine for each inquiry and returns without waiting.
func (i *claimInquiries) send(ctx context.Context, inquiries []controller.Inquiry) {
	for _, inquiry := range inquiries {
		if i.start() {
			i.running.Go(func() { i.ask(ctx, inquiry) })
		}
	}
}

func (i *claimInquiries) start() bool {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.asking >= maxInquiries {
		return false
	}
	i.asking++
	return true
}

// ask cancels the request at its engine, which rejects it from then on, and stores the
// status that the engine returns.
func (i *claimInquiries) ask(ctx context.Context, inquiry controller.Inquiry) {
	ctx, cancel := context.WithTimeout(ctx, inquiryTimeout)
	defer cancel()
	status, err := i.engines.Status(ctx, inquiry.Address, inquiry.Request, true)
	i.mutex.Lock()
	i.asking--
	if err == nil {
		i.replies = append(i.replies, controller.InquiryReply{Inquiry: inquiry, Status: status})
	}
	i.mutex.Unlock()
	if err != nil {
		level.Debug(i.logger).Log("msg", "An engine did not return the status of a request.", "request", inquiry.Request, "address", inquiry.Address, "err", err)
		return
	}
	level.Info(i.logger).Log("msg", "An engine was asked about a request whose router is silent.", "request", inquiry.Request,
		"state", status.State, "started", status.Started)
	i.answered.broadcast()
}

// take returns and clears the replies received since the last call.
func (i *claimInquiries) take() []controller.InquiryReply {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	replies := i.replies
	i.replies = nil
	return replies
}
