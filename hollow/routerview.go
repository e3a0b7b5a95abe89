package hollow

import (
	"github.com/lotusferry/lotusferry/daemon"
	"github.com/lotusferry/lotusferry/request/router"
	"github.com/lotusferry/lotusferry/structs"
)

// poll keeps one long poll open for the zone's view.
func (r *routerNode) poll(life int) {
	if !r.current(life) {
		return
	}
	home := r.owner.zone
	target := home.voters[r.nextMember%len(home.voters)]
	key := r.reader.Next()
	arguments := daemon.ViewArguments{
		SinceTable: key.SinceTable, SinceIndex: key.SinceIndex, Parts: true, Whole: key.Whole, After: key.After, Wait: pollWait,
	}
	bytes := home.sizer.call(methodZoneView, arguments)
	home.site.call(r.owner, target, trafficView, bytes, func(answer answerFunc) {
		target.member.poll(&viewPoll{key: key, answer: answer, then: func(made sizedView) { r.adopt(life, made) }})
	}, func() { r.pollElsewhere(life) })
}

func (r *routerNode) pollElsewhere(life int) {
	r.nextMember++
	r.owner.zone.after(retryPause, func() { r.poll(life) })
}

func (r *routerNode) adopt(life int, made sizedView) {
	answered := made.view
	if !r.keepsAll {
		answered.Table = made.inUse
	}
	view, helps := r.reader.Take(answered)
	if !helps {
		r.pollElsewhere(life)
		return
	}
	r.disk.Adopt(view)
	r.stepAs(partRouterView, router.ViewChanged{View: view})
	r.sinceTable = r.core.TableRevision()
	r.owner.zone.noteInForce()
	r.poll(life)
}

// loadDisk begins with the view that the process's former life left on its disk.
func (r *routerNode) loadDisk() {
	var saved structs.ZoneView
	if r.disk != nil {
		saved = r.disk.View()
	}
	r.disk = router.NewViewCopy(r.core)
	if saved.Index > 0 {
		r.disk.Adopt(saved)
		r.stepAs(partRouterView, router.ViewChanged{View: saved})
	}
	r.sinceTable = r.core.TableRevision()
	r.reader = router.NewViewReader(saved)
}

// rowsInUse leaves out the rows that no request of the run is for, so that the
// routers fit one process.
func (s *site) rowsInUse(delta structs.TableDelta) structs.TableDelta {
	kept := delta
	kept.Rows, kept.Grants, kept.Elsewhere = nil, nil, nil
	for _, row := range delta.Rows {
		if s.inUse(row.Name) {
			kept.Rows = append(kept.Rows, row)
		}
	}
	for _, grant := range delta.Grants {
		if s.inUse(grant.Row) {
			kept.Grants = append(kept.Grants, grant)
		}
	}
	for _, zones := range delta.Elsewhere {
		if s.inUse(zones.Row) {
			kept.Elsewhere = append(kept.Elsewhere, zones)
		}
	}
	return kept
}
