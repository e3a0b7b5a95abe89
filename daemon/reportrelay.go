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

// intervalsPerRelay is the number of report intervals between two messages to the
// leader.
const intervalsPerRelay = 2

// maxRelayMessages bounds the messages sent at a time: one that may return a new share,
// and one for that share.
const maxRelayMessages = 2

// relayLoop reads the engine reports of the router's share and relays changes to the
// zone leader. The first message asks for a share.
func (r *requestRouter) relayLoop(ctx context.Context) {
	next := time.NewTicker(r.timing.ReportInterval)
	defer next.Stop()
	for interval := 0; ; interval++ {
		r.readShare(ctx)
		if interval%intervalsPerRelay == 0 {
			r.sendReports(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-next.C:
		}
	}
}

// readShare reads the reports of the share that are due.
func (r *requestRouter) readShare(ctx context.Context) {
	due := r.relay.Due()
	reports := make([]*structs.EngineReport, len(due))
	asked := clock.Now()
	var reads sync.WaitGroup
	for i, runner := range due {
		reads.Go(func() { reports[i] = r.readReport(ctx, runner) })
	}
	reads.Wait()
	for _, report := range reports {
		if report != nil {
			r.relay.Read(asked, *report)
		}
	}
}

// readReport reads one report. It returns nil if the engine does not reply in time.
func (r *requestRouter) readReport(ctx context.Context, runner structs.ShareRunner) *structs.EngineReport {
	ctx, cancel := context.WithTimeout(ctx, r.timing.ReportInterval)
	defer cancel()
	report, err := r.engines.Report(ctx, runner.Address)
	if err != nil || report.Runner != runner.Runner {
		return nil
	}
	return &report
}

// sendReports relays the reports to the leader, and again if the reply assigns a new
// share.
func (r *requestRouter) sendReports(ctx context.Context) {
	for range maxRelayMessages {
		message := r.relay.Message(clock.Now())
		share, err := r.sendRelay(ctx, message)
		if err != nil {
			level.Debug(r.logger).Log("msg", "Engine reports could not be sent to the leader.", "err", err)
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
