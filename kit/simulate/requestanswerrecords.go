package simulate

import (
	"time"

	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// answerRecord records where the answer under a key is stored.
type answerRecord struct {
	host *routerHost
	// life is the router lifetime that held the complete answer, heldAt the time
	// since when.
	life   int
	heldAt time.Duration
	// disk is the number of the disk with the answer; 0 before it was saved.
	disk int
}

// answerHeld records that a router has a complete answer.
func (r *requestRecords) answerHeld(host *routerHost, effect router.FinishClaim) {
	r.answers[effect.Claim.Key] = &answerRecord{host: host, life: host.life, heldAt: r.now()}
}

// answerSaved records that the answer is on the router's disk.
func (r *requestRecords) answerSaved(host *routerHost, effect router.FinishClaim) {
	r.answers[effect.Claim.Key].disk = host.disk.number
}

// networkChanged records the start or end of a cut or a storm.
func (r *requestRecords) networkChanged() { r.networkChangedAt = r.now() }

// checkResend checks the refusal of a request under a key whose answer had ended.
func (r *requestRecords) checkResend(done *submission) {
	caller := done.caller
	kept := r.answers[structs.ClaimKey(caller.name+"/"+caller.key)]
	refusal := done.refusal
	if refusal.Execution == structs.ExecutionDone && refusal.Error.RetryAfter == 0 {
		r.counts.AnswersGone++
		if kept == nil || kept.disk == kept.host.disk.number {
			r.site.judge.Report(checkerKept, "%s was refused because its answer is gone, but its router still has the disk with the answer", done.name())
		}
	}
	inProgress := refusal.Error.Kind == structs.ErrorConflict && refusal.Execution == structs.ExecutionUnknown
	if !inProgress || kept == nil || !done.afterEnd || done.sentAt < kept.heldAt {
		return
	}
	lives := kept.host.core != nil && kept.host.life == kept.life
	if lives && r.site.networkCalm() && r.networkChangedAt < done.sentAt {
		r.site.judge.Report(checkerAtEnd, "%s was refused because its request is in progress, %v after its router had the complete answer",
			done.name(), r.now()-kept.heldAt)
	}
}

// networkCalm reports whether no cut and no storm is in progress.
func (s *requestSite) networkCalm() bool { return s.networkFaults == 0 }

// trackNetworkFault records the start of a network fault and wraps heal to record
// its end.
func (s *requestSite) trackNetworkFault(heal func()) func() {
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
