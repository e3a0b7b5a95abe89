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
	// claimTimeout bounds holding a claim in the own zone, where an election may be
	// under way; then the request is refused as not run.
	claimTimeout = 4 * time.Second
	// farClaimTimeout bounds it in another zone. Once that has not answered, keys
	// of that home are refused at once until it answers again.
	farClaimTimeout = 1500 * time.Millisecond
	// claimRetry and claimRetryMost bound the pause between tries to record the end
	// of a claim.
	claimRetry     = 200 * time.Millisecond
	claimRetryMost = 5 * time.Second
	// renewInterval is how often claims are renewed, four times in one lease.
	renewInterval = controller.DefaultClaimLease / 4
	// probeInterval is how often a home zone that did not answer is tried.
	probeInterval = time.Second
)

// claimKeeper holds and ends the claims of one router, in the zone groups of their
// keys' homes.
type claimKeeper struct {
	logger log.Logger
	own    structs.ZoneID
	holder structs.ClaimHolder
	homes  map[structs.ZoneID]*claimHome
	// quiet is signalled when the end of a claim was recorded.
	quiet notifier
}

// newSession makes the name of this life of a daemon; it is not 0.
func newSession(random func() uint64) structs.SessionID { return structs.SessionID(random() | 1) }

func newClaimKeeper(logger log.Logger, client *transport.Client, site config.Site, own structs.ZoneID, holder structs.ClaimHolder) *claimKeeper {
	k := &claimKeeper{
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

// begin holds a claim, or names the runner of the next attempt in it.
func (k *claimKeeper) begin(ctx context.Context, effect router.BeginClaim) router.ClaimReplied {
	reply := router.ClaimReplied{ID: effect.ID}
	home, known := k.homes[effect.Claim.Home]
	if !known || !home.ask(effect.ID) {
		reply.NotAsked = true
		reply.Error = structs.NewError(structs.ErrorUnavailable, "the home zone of the key does not answer", "Come back after the time given.")
		reply.Error.RetryAfter = probeInterval
		return reply
	}
	ctx, cancel := context.WithTimeout(ctx, home.timeout)
	defer cancel()
	result, err := k.operate(ctx, home, zone.ClaimOperation{Begin: beginCommand(effect)})
	if err == nil {
		err = structs.AsError(result.Error)
	}
	if err == nil && result.Claim != nil && !k.owns(effect.ID, result.Claim) {
		home.forget(effect.ID)
	}
	reply.Claim, reply.New, reply.Error = result.Claim, result.ClaimNew, structs.AsTyped(err)
	return reply
}

// owns reports whether the claim is that of the request in this life of the daemon.
func (k *claimKeeper) owns(request structs.RequestID, claim *structs.Claim) bool {
	return claim.Request == request && claim.HeldBy() == k.holder
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

// finish records the end of a claim. It is repeated until the home zone has it or
// says that the claim has ended in another way: an end that is not recorded would
// leave the key held for as long as this daemon lives. It reports whether the zone
// has answered.
func (k *claimKeeper) finish(ctx context.Context, effect router.FinishClaim) (answered bool) {
	home, known := k.homes[effect.Claim.Home]
	if !known || !home.startEnd(effect.ID) {
		return false
	}
	command := finishCommand(effect.Claim)
	for wait := claimRetry; ctx.Err() == nil; wait = min(2*wait, claimRetryMost) {
		tryCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		result, err := k.operate(tryCtx, home, zone.ClaimOperation{Finish: command})
		cancel()
		if err == nil {
			k.logRefused(effect.Claim, result.Error)
			answered = true
			break
		}
		pause.For(ctx, wait)
	}
	home.forget(effect.ID)
	k.quiet.broadcast()
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

func (k *claimKeeper) logRefused(claim structs.Claim, refusal *structs.Error) {
	if refusal == nil {
		return
	}
	level.Warn(k.logger).Log("msg", "The zone refused the end of a claim.", "key", claim.Key, "zone", claim.Home, "state", claim.State, "err", refusal)
}

// operate carries one operation out at the leader of a home zone.
func (k *claimKeeper) operate(ctx context.Context, home *claimHome, operation zone.ClaimOperation) (zone.Result, error) {
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
		return zone.Result{}, structs.NewError(structs.ErrorInternal, "the zone's leader gave no result for a claim", "Bring all daemons to the same version.")
	}
	return reply.Results[0], nil
}

func requestOfClaim(operation zone.ClaimOperation) structs.RequestID {
	if operation.Begin != nil {
		return operation.Begin.Request
	}
	return operation.Finish.Request
}

// renewLoop renews the claims that may be held, and tries the home zones that did
// not answer, until ctx ends.
func (k *claimKeeper) renewLoop(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	for pause.For(ctx, probeInterval) {
		for _, home := range k.homes {
			if requests, due := home.startRenewal(clock.Now()); due {
				renewals.Go(func() { k.renew(ctx, home, requests) })
			}
		}
	}
}

func (k *claimKeeper) renew(ctx context.Context, home *claimHome, requests []structs.RequestID) {
	ctx, cancel := context.WithTimeout(ctx, farClaimTimeout)
	defer cancel()
	startedAt := clock.Now()
	_, err := home.call(ctx, ClaimsArguments{Renew: requests})
	home.endRenewal(startedAt, err)
	if err != nil {
		level.Debug(k.logger).Log("msg", "Claims could not be renewed.", "claims", len(requests), "err", err)
	}
}

// Drain waits until every end of a claim that has begun to be recorded is
// recorded, or until ctx ends. It returns how many were not.
func (k *claimKeeper) Drain(ctx context.Context) int {
	for {
		quiet := k.quiet.wait()
		left := 0
		for _, home := range k.homes {
			left += home.endings()
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
