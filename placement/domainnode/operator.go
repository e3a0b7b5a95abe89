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

// callerTimeout bounds a call from outside: its sender turns to another controller
// after a second.
const callerTimeout = 900 * time.Millisecond

// PutDocument takes a document. It returns once the document, or one with a higher
// version, is durable. The error is of kind ErrorInvalid for a document that never
// will be taken; others say that the outcome is unknown.
func (n *Node) PutDocument(ctx context.Context, source []byte) error {
	document, err := n.options.Decoder(source)
	if err == nil {
		err = document.Validate()
	}
	if err != nil {
		n.metrics.puts.WithLabelValues("invalid").Inc()
		level.Info(n.logger).Log("msg", "A document was refused.", "bytes", len(source), "err", err)
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

// Document returns the text of the document in force, or nil if there is none yet.
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

// Heartbeat takes a runner's heartbeat. It returns nil only if the leader has it, and
// for a runner that is leaving only if that is durable.
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

// Depart takes a runner's word that it ends. Born is when it was started, in Unix milliseconds; 0 if it does
// not say.
func (n *Node) Depart(ctx context.Context, id string, born int64) error {
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	return n.depart(ctx, domainapi.DepartArguments{Departure: domain.Departure{Instance: id, Gone: true}, Born: born})
}

func (n *Node) depart(ctx context.Context, arguments domainapi.DepartArguments) error {
	_, err := leadercall.Call(ctx, n.caller, domainapi.MethodDepart, arguments, newReply)
	n.metrics.departures.WithLabelValues(outcomeName(err)).Inc()
	level.Info(n.logger).Log("msg", "A runner is leaving.", "runner", arguments.Departure.Instance, "born", arguments.Born,
		"gone", arguments.Departure.Gone, "err", err)
	return err
}
