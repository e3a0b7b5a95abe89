package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/clock"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/internal/transport"
	"github.com/lotusferry/lotusferry/placement/controller"
	"github.com/lotusferry/lotusferry/placement/zone"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// claimTimeout bounds a claim operation in the router's own zone and allows for an
	// election there. A request that exceeds it is refused as not run.
	claimTimeout = 4 * time.Second
	// remoteClaimTimeout bounds beginning a claim in another zone. After a timeout,
	// keys of that zone are refused at once until it replies again.
	remoteClaimTimeout = 1500 * time.Millisecond
	// Initial and maximum backoff between attempts to record the end of a claim.
	claimRetryDelay    = 200 * time.Millisecond
	maxClaimRetryDelay = 5 * time.Second
	// renewInterval is the time between lease renewals.
	renewInterval = controller.DefaultClaimLease / 4
	// probeInterval is the time between attempts to reach an unreachable home zone.
	probeInterval = time.Second
)

// claimManager begins, renews and ends the claims of one router, in the home zones of
// their keys.
type claimManager struct {
	logger log.Logger
	own    structs.ZoneID
	holder structs.ClaimHolder
	homes  map[structs.ZoneID]*claimHome
	// endRecorded is signalled when the end of a claim has been recorded.
	endRecorded notifier
}

// newSession returns a random, nonzero ID for this run of the daemon.
func newSession(random func() uint64) structs.SessionID { return structs.SessionID(random() | 1) }

func newClaimManager(logger log.Logger, client *transport.Client, site config.Site, own structs.ZoneID, holder structs.ClaimHolder) *claimManager {
	k := &claimManager{
		logger: log.With(logger, "component", "claims"),
		own:    own,
		holder: holder,
		homes:  map[structs.ZoneID]*claimHome{},
	}
	for _, settings := range site.Zones {
		leader := leadercall.New(client, memberAddresses(settings.Controllers))
		k.homes[settings.ID] = newClaimHome(leader, settings.ID != own)
	}
	return k
}

// begin acquires a claim, or records in it the runner of the next attempt.
func (m *claimManager) begin(ctx context.Context, effect router.BeginClaim) router.ClaimReplied {
	reply := router.ClaimReplied{ID: effect.ID}
	home, known := m.homes[effect.Claim.Home]
	if !known || !home.admit(effect.ID) {
		reply.NotAsked = true
		reply.Error = structs.NewError(structs.ErrorUnavailable, "the home zone of the key is unreachable", "Come back after the time given.")
		reply.Error.RetryAfter = probeInterval
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, home.timeout)
	defer cancel()
	result, err := m.operate(ctx, home, zone.ClaimOperation{Begin: beginCommand(effect)})
	if err == nil {
		err = structs.AsError(result.Error)
	}
	if err == nil && result.Claim != nil && !m.owns(effect.ID, result.Claim) {
		home.forget(effect.ID)
	}
	reply.Claim, reply.New, reply.Error = result.Claim, result.ClaimNew, structs.AsTyped(err)
	return reply
}

// owns reports whether the claim belongs to the request and to this run of the daemon.
func (m *claimManager) owns(request structs.RequestID, claim *structs.Claim) bool {
	return claim.Request == request && claim.HeldBy() == m.holder
}

func beginCommand(effect router.BeginClaim) *zone.ClaimBeginCommand {
	claim := effect.Claim
	return &zone.ClaimBeginCommand{
		Key:           claim.Key,
		Request:       claim.Request,
		Digest:        claim.Digest,
		Holder:        claim.Holder,
		Session:       claim.Session,
		Attempt:       effect.Choice,
		Runner:        claim.Runner,
		Incarnation:   claim.Incarnation,
		Address:       claim.Address,
		EngineRequest: claim.EngineRequest,
		HolderAddress: claim.HolderAddress,
	}
}

// finish records the end of a claim. It retries until the home zone has recorded it or
// reports that the claim has ended otherwise: an unrecorded end would keep the key held
// while this daemon runs. It reports whether the zone replied.
func (m *claimManager) finish(ctx context.Context, effect router.FinishClaim) (answered bool) {
	home, known := m.homes[effect.Claim.Home]
	if !known || !home.startEnd(effect.ID) {
		return false
	}
	command := finishCommand(effect.Claim)
	for wait := claimRetryDelay; ctx.Err() == nil; wait = min(2*wait, maxClaimRetryDelay) {
		tryCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		result, err := m.operate(tryCtx, home, zone.ClaimOperation{Finish: command})
		cancel()
		if err == nil {
			m.logRejected(effect.Claim, result.Error)
			answered = true
			break
		}
		pause.For(ctx, wait)
	}
	home.forget(effect.ID)
	m.endRecorded.broadcast()
	return answered
}

func finishCommand(claim structs.Claim) *zone.ClaimFinishCommand {
	return &zone.ClaimFinishCommand{
		Key:       claim.Key,
		Request:   claim.Request,
		State:     claim.State,
		NotRun:    claim.State == structs.ClaimReleased,
		ExpiresAt: claim.ExpiresAt,

		AnswerBytes: claim.Answer.Bytes,
		AnswerHash:  claim.Answer.Hash,
	}
}

func (m *claimManager) logRejected(claim structs.Claim, refusal *structs.Error) {
	if refusal == nil {
		return
	}
	level.Warn(m.logger).Log("msg", "The zone rejected the end of a claim.", "key", claim.Key, "zone", claim.Home, "state", claim.State, "err", refusal)
}

// operate runs one operation at the leader of a home zone.
func (m *claimManager) operate(ctx context.Context, home *claimHome, operation zone.ClaimOperation) (zone.Result, error) {
	batch := &zone.ClaimBatchCommand{Operations: []zone.ClaimOperation{operation}}
	encoded, err := zone.EncodeCommand(zone.Command{ClaimBatch: batch})
	if err != nil {
		return zone.Result{}, err
	}
	reply, err := home.call(ctx, ClaimsArguments{Renew: []structs.RequestID{requestOfClaim(operation)}, Command: encoded})
	if err != nil {
		return zone.Result{}, err
	}
	if len(reply.Results) != 1 {
		return zone.Result{}, structs.NewError(structs.ErrorInternal, "the zone's leader returned no result for a claim", "Bring all daemons to the same version.")
	}
	return reply.Results[0], nil
}

func requestOfClaim(operation zone.ClaimOperation) structs.RequestID {
	if operation.Begin != nil {
		return operation.Begin.Request
	}
	return operation.Finish.Request
}

// renewLoop renews the claims that may be held, and probes unreachable home zones,
// until ctx is done.
func (m *claimManager) renewLoop(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	for pause.For(ctx, probeInterval) {
		for _, home := range m.homes {
			if requests, due := home.startRenewal(clock.Now()); due {
				renewals.Go(func() { m.renew(ctx, home, requests) })
			}
		}
	}
}

func (m *claimManager) renew(ctx context.Context, home *claimHome, requests []structs.RequestID) {
	ctx, cancel := context.WithTimeout(ctx, remoteClaimTimeout)
	defer cancel()
	startedAt := clock.Now()
	_, err := home.call(ctx, ClaimsArguments{Renew: requests})
	home.endRenewal(startedAt, err)
	if err != nil {
		level.Debug(m.logger).Log("msg", "Claims could not be renewed.", "claims", len(requests), "err", err)
	}
}

// Drain waits until the ends of claims being recorded are recorded, or until ctx is
// done. It returns the number not yet recorded.
func (m *claimManager) Drain(ctx context.Context) int {
	for {
		quiet := m.endRecorded.wait()
		left := 0
		for _, home := range m.homes {
			left += home.pendingEnds()
		}
		if left == 0 || ctx.Err() != nil {
			return left
		}
		select {
		case <-ctx.Done():
		case <-quiet:
		}
	}
}
