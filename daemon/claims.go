package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/lotusferry/lotusferry/router"
	"github.com/lotusferry/lotusferry/structs"
	"github.com/lotusferry/lotusferry/zone"
)

const (
	// claimTimeout bounds holding a claim; then the request is refused as not run.
	claimTimeout = 4 * time.Second
	// claimRetry separates tries to record the end of a claim.
	claimRetry = 200 * time.Millisecond
)

// beginClaim holds the claim in the zone log.
func (r *requestRouter) beginClaim(ctx context.Context, effect router.BeginClaim, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	claim := effect.Claim
	result, err := r.proposeZone(ctx, zone.Command{ClaimBegin: &zone.ClaimBeginCommand{
		Key:         claim.Key,
		Request:     claim.Request,
		Digest:      claim.Digest,
		Holder:      claim.Holder,
		Attempt:     number,
		Runner:      claim.Runner,
		Incarnation: claim.Incarnation,
	}})
	if err == nil {
		err = asError(result.Error)
	}
	r.step(router.ClaimReplied{ID: effect.ID, Claim: result.Claim, New: result.ClaimNew, Error: asTyped(err)})
}

// finishClaim records the end of a claim. It is repeated until the zone has it:
// an end that is not recorded would leave the key held for good.
func (r *requestRouter) finishClaim(ctx context.Context, effect router.FinishClaim) {
	claim := effect.Claim
	command := zone.Command{ClaimFinish: &zone.ClaimFinishCommand{
		Key:       claim.Key,
		Request:   claim.Request,
		State:     claim.State,
		NotRun:    claim.State == structs.ClaimReleased,
		Answer:    claim.Answer,
		ExpiresAt: claim.ExpiresAt,
	}}
	for {
		tryCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		result, err := r.proposeZone(tryCtx, command)
		cancel()
		if err == nil {
			r.logRefusedClaim(effect, result.Error)
			return
		}
		if !pause(ctx, claimRetry) {
			return
		}
	}
}

func (r *requestRouter) logRefusedClaim(effect router.FinishClaim, refusal *structs.Error) {
	if refusal == nil {
		return
	}
	level.Warn(r.logger).Log("msg", "The zone refused the end of a claim.", "key", effect.Claim.Key, "err", refusal)
}

func (r *requestRouter) proposeZone(ctx context.Context, command zone.Command) (zone.Result, error) {
	encoded, err := zone.EncodeCommand(command)
	if err != nil {
		return zone.Result{}, err
	}
	reply, err := callLeader(ctx, r.leader, methodZonePropose, ProposeArguments{Command: encoded}, func() *ZoneReply { return &ZoneReply{} })
	if err != nil {
		var typed *structs.Error
		if errors.As(err, &typed) {
			return zone.Result{}, typed
		}
		return zone.Result{}, err
	}
	return reply.Result, nil
}
