package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// answerRecord is where the answer under a key is kept.
type answerRecord struct {
	host *routerHost
	// life is the router's life that had the whole answer, heldAt since when.
	life   int
	heldAt time.Duration
	// disk is the number of the disk with the answer, 0 before it was saved.
	disk int
}

// answerHeld notes that a router has a whole answer.
func (r *requestRecords) answerHeld(host *routerHost, effect router.FinishClaim) {
	r.answers[effect.Claim.Key] = &answerRecord{host: host, life: host.life, heldAt: r.now()}
}

// answerSaved notes that the answer is on the router's disk.
func (r *requestRecords) answerSaved(host *routerHost, effect router.FinishClaim) {
	r.answers[effect.Claim.Key].disk = host.disk.number
}

// networkChanged notes that a cut, a storm or their end changed the network.
func (r *requestRecords) networkChanged() { r.networkChangedAt = r.now() }

// checkResend judges the refusal of a request under a key whose answer had ended.
func (r *requestRecords) checkResend(done *submission) {
	caller := done.caller
	kept := r.answers[structs.ClaimKey(caller.name+"/"+caller.key)]
	refusal := done.refusal
	if refusal.Execution == structs.ExecutionDone && refusal.Error.RetryAfter == 0 {
		r.counts.AnswersGone++
		if kept == nil || kept.disk == kept.host.disk.number {
			r.site.judge.Report(checkerKept, "%s was told that its answer is gone, and its router has the disk with it", done.name())
		}
	}
	inProgress := refusal.Error.Kind == structs.ErrorConflict && refusal.Execution == structs.ExecutionUnknown
	if !inProgress || kept == nil || !done.afterEnd || done.sentAt < kept.heldAt {
		return
	}
	lives := kept.host.core != nil && kept.host.life == kept.life
	if lives && r.site.networkCalm() && r.networkChangedAt < done.sentAt {
		r.site.judge.Report(checkerAtEnd, "%s was told that its request is in progress, %v after its router had the whole answer",
			done.name(), r.now()-kept.heldAt)
	}
}

// networkCalm reports whether no cut and no storm is under way.
func (s *requestSite) networkCalm() bool { return s.networkFaults == 0 }

// disturbed notes a fault of the network and its end.
func (s *requestSite) disturbed(heal func()) func() {
	if heal == nil {
		return nil
	}
	s.networkFaults++
	s.records.networkChanged()
	return func() {
		heal()
		s.networkFaults--
		s.records.networkChanged()
	}
}
