package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/structs"
)

// relayEvery is how many report intervals lie between two messages to the leader.
const relayEvery = 2

// relayTries bounds the messages of one turn: one that brings a new share, and one
// about it.
const relayTries = 2

// relayLoop reads the router's share of the engines' reports and tells the zone
// leader what has changed. The first message asks for a share.
func (r *requestRouter) relayLoop(ctx context.Context) {
	next := time.NewTicker(r.timing.ReportInterval)
	defer next.Stop()
	for interval := 0; ; interval++ {
		r.readShare(ctx)
		if interval%relayEvery == 0 {
			r.tellReports(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
	}
}

// readShare reads the reports that are due.
func (r *requestRouter) readShare(ctx context.Context) {
	due := r.relay.Due()
	reports := make([]*structs.EngineReport, len(due))
	asked := clock.Now()
	var reads sync.WaitGroup
	for i, runner := range due {
		reads.Go(func() { reports[i] = r.readShared(ctx, runner) })
	}
	reads.Wait()
	for _, report := range reports {
		if report != nil {
			r.relay.Read(asked, *report)
		}
	}
}

// readShared reads one report; nil means that the engine gave none in time.
func (r *requestRouter) readShared(ctx context.Context, runner structs.ShareRunner) *structs.EngineReport {
	ctx, cancel := context.WithTimeout(ctx, r.timing.ReportInterval)
	defer cancel()
	report, err := r.engines.Report(ctx, runner.Address)
	if err != nil || report.Runner != runner.Runner {
		return nil
	}
	return &report
}

// tellReports tells the leader, and once more when that gives a new share of which
// reports are known.
func (r *requestRouter) tellReports(ctx context.Context) {
	for range relayTries {
		message := r.relay.Message(clock.Now())
		share, err := r.sendRelay(ctx, message)
		if err != nil {
			level.Debug(r.logger).Log("msg", "The leader could not be told of engine reports.", "err", err)
			return
		}
		if !r.relay.Acknowledge(message, share) || len(share.Runners) == 0 {
			return
		}
	}
}

func (r *requestRouter) sendRelay(ctx context.Context, message structs.ReportRelay) (*structs.ReportShare, error) {
	ctx, cancel := context.WithTimeout(ctx, r.timing.ReportInterval)
	defer cancel()
	reply, err := leadercall.Call(ctx, r.leader, methodZoneReports, ReportsArguments{Relay: message}, func() *ReportsReply { return &ReportsReply{} })
	return reply.Share, err
}
