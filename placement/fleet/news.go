package fleet

// recordFirstHeard records the revision in which a recalled runner is heard for the first time.
// Routers that followed the previous leader usually know its state already.
func (p *Publisher) recordFirstHeard(former, runner *Runner) {
	if former.Recalled && !runner.Recalled && !runner.Leaving && !runner.Failing {
		p.firstHeardAt[runner.Instance] = p.revision + 1
	}
}

// isTakeoverChange reports whether a runner has changed after the revision in another way than by being heard
// for the first time.
func (p *Publisher) isTakeoverChange(runner *Runner, known uint64) bool {
	changed := p.changedAt[runner.Instance]
	if changed <= known {
		return false
	}
	isUnchanged := changed == 1 && !runner.Leaving && !runner.Failing
	return changed != p.firstHeardAt[runner.Instance] && !isUnchanged
}

// TakeoverChangesSince is like Since, for a router that knows the previous leader's view: it omits what that
// leader has most likely sent. The result is small for any fleet size; the router fetches the full
// view later.
func (p *Publisher) TakeoverChangesSince(known uint64) View {
	delta := View{Partial: true, Gone: p.goneSince(known)}
	for _, i := range p.changedSince(known) {
		if p.isTakeoverChange(&p.view.Runners[i], known) {
			delta.Runners = append(delta.Runners, p.view.Runners[i])
		}
	}
	delta.Removed = p.removedSince(known)
	return delta
}

// EncodedTakeoverChangesSince returns the encoded result of TakeoverChangesSince. It encodes only once per known
// revision.
func (p *Publisher) EncodedTakeoverChangesSince(known uint64) (EncodedView, error) {
	return p.encodeOnce(p.encodedTakeoverChanges, known, p.TakeoverChangesSince)
}

// encodeOnce returns the encoded view for a known revision, from the cache if possible.
func (p *Publisher) encodeOnce(made map[uint64]EncodedView, known uint64, view func(uint64) View) (EncodedView, error) {
	if encoded, isMade := made[known]; isMade {
		return encoded, nil
	}
	encoded, err := view(known).Encode()
	if err == nil {
		made[known] = encoded
	}
	return encoded, err
}
