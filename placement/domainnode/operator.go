package domainnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/placement/domain"
	"github.com/lotusferry/lotusferry/placement/domainapi"
	"github.com/lotusferry/lotusferry/placement/fleet"
)

// callerTimeout bounds a call from a runner or operator, who tries another controller after
// a second.
const callerTimeout = 900 * time.Millisecond

const (
	// departReplyTime is the longest time until the leader answers a departure, with its commit and its
	// wait for routers.
	departReplyTime = 650 * time.Millisecond
	// departTimeout bounds an attempt to tell the leader of a departure. After a shorter time-out than the
	// leader's, all calls of this controller would search for another leader.
	departTimeout = departReplyTime + 150*time.Millisecond
)

// PutDocument submits a document. It returns once this document, or one with a higher
// version, is durable. An error of kind ErrorInvalid means that the document was rejected;
// after other errors the outcome is unknown.
func (n *Node) PutDocument(ctx context.Context, source []byte) error {
	document, err := n.options.Decoder(source)
	if err == nil {
		err = document.Validate()
	}
	if err != nil {
		n.metrics.puts.WithLabelValues("invalid").Inc()
		level.Info(n.logger).Log("msg", "A document was rejected as invalid.", "bytes", len(source), "err", err)
		return err
	}
	packed, err := domain.Compress(source)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	arguments := domainapi.PutArguments{Document: domain.Document{Version: document.Version, Source: packed}}
	_, err = leadercall.Call(ctx, n.caller, domainapi.MethodPut, arguments, newReply)
	n.metrics.puts.WithLabelValues(outcomeName(err)).Inc()
	level.Info(n.logger).Log("msg", "A document was put.", "version", document.Version, "routes", len(document.Routes),
		"bytes", len(source), "err", err)
	return err
}

// Document returns the text of the current document, or nil if there is none.
func (n *Node) Document(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	reply, err := leadercall.Call(ctx, n.caller, domainapi.MethodRead, domainapi.ReadArguments{},
		func() *domainapi.DocumentReply { return &domainapi.DocumentReply{} })
	if err != nil || reply.Document.Version == 0 {
		return nil, err
	}
	return domain.Expand(reply.Document.Source)
}

// Heartbeat forwards a runner's heartbeat. It returns nil once the leader has acknowledged
// it; if the runner is leaving, once the departure is durable as well.
func (n *Node) Heartbeat(ctx context.Context, heartbeat fleet.Heartbeat) error {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	var err error
	if heartbeat.Leaving {
		err = n.sendHeartbeats(ctx, []fleet.Heartbeat{heartbeat})
	} else {
		err = n.heartbeats.forward(ctx, heartbeat)
	}
	n.metrics.heartbeats.WithLabelValues(outcomeName(err)).Inc()
	if err == nil && heartbeat.Leaving {
		err = n.depart(ctx, domainapi.DepartArguments{
			Departure: domain.Departure{Instance: heartbeat.Instance}, Born: heartbeat.Born,
		})
	}
	return err
}

// Depart records that a runner is gone. Born is the start time of its process in Unix
// milliseconds, or 0 if unknown.
func (n *Node) Depart(ctx context.Context, id string, startTime int64) error {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	return n.depart(ctx, domainapi.DepartArguments{Departure: domain.Departure{Instance: id, Gone: true}, Born: startTime})
}

func (n *Node) depart(ctx context.Context, arguments domainapi.DepartArguments) error {
	_, err := leadercall.Call(ctx, n.caller.WithTryTimeout(departTimeout), domainapi.MethodDepart, arguments, newReply)
	n.metrics.departures.WithLabelValues(outcomeName(err)).Inc()
	level.Info(n.logger).Log("msg", "A runner is leaving.", "runner", arguments.Departure.Instance, "born", arguments.Born,
		"gone", arguments.Departure.Gone, "err", err)
	return err
}
