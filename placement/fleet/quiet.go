package fleet

// noteHeard notes a change of a runner that is no more than that the leader has heard it for the first time. A router
// that followed the leader before knows it already, most often as it is.
func (p *Publisher) noteHeard(former, runner *Runner) {
	if former.Recalled && !runner.Recalled && !runner.Leaving && !runner.Failing {
		p.heardAt[runner.Instance] = p.revision + 1
	}
}

// isNews reports whether a runner has changed after a revision otherwise than by being heard for the first time.
func (p *Publisher) isNews(runner *Runner, known uint64) bool {
	changed := p.changedAt[runner.Instance]
	if changed <= known {
		return false
	}
	isUnchanged := changed == 1 && !runner.Leaving && !runner.Failing
	return changed != p.heardAt[runner.Instance] && !isUnchanged
}

// NewsSince is Since for a router that knows the view of the leader before: without what that one has most likely
// told it. What is left is small however large the fleet is; the router gets the whole view later.
func (p *Publisher) NewsSince(known uint64) View {
	news := View{Partial: true, Gone: p.goneSince(known)}
	for i := range p.view.Runners {
		if p.isNews(&p.view.Runners[i], known) {
			news.Runners = append(news.Runners, p.view.Runners[i])
		}
	}
	news.Removed = p.removedSince(known)
	return news
}

// EncodedNewsSince is NewsSince as bytes, which are made once for all who know the revision.
func (p *Publisher) EncodedNewsSince(known uint64) (EncodedView, error) {
	return p.encodeOnce(p.encodedNews, known, p.NewsSince)
}

// encodeOnce encodes a view for one who knows a revision, unless it has been encoded already.
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
