package router

import (
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// ViewPoll limits a long poll for a view. It is well below the time within which routers
// must learn about a leaving runner.
const ViewPoll = 2 * time.Second

// ViewSource selects the zone controller that a router asks for the view, and the
// request. It is not safe for concurrent use.
type ViewSource struct {
	reader      *ViewReader
	controllers int
	next        int
}

// NewViewSource returns a source that continues after the known view; the zero view means
// none. The number of controllers must be at least 1.
func NewViewSource(controllers int, known structs.ZoneView) *ViewSource {
	return &ViewSource{reader: NewViewReader(known), controllers: controllers}
}

// Controller returns the index of the controller to ask.
func (s *ViewSource) Controller() int { return s.next }

// Next returns the next request.
func (s *ViewSource) Next() structs.ViewRequest { return s.reader.Next() }

// ReadsParts reports whether a full table is being read in parts.
func (s *ViewSource) ReadsParts() bool { return s.reader.ReadsParts() }

// Take processes the reply to the last request and returns the view to apply, or false
// when this controller cannot help. After a full poll without changes the next controller
// is asked, because this one may be partitioned from its group.
func (s *ViewSource) Take(view structs.ZoneView) (structs.ZoneView, bool) {
	hasChanges := view.HasChanges(s.reader.Next().SinceTable)
	adopted, helps := s.reader.Take(view)
	if !helps || !hasChanges {
		s.Failed()
	}
	return adopted, helps
}

// Failed selects the next controller after the current one did not reply.
func (s *ViewSource) Failed() { s.next = (s.next + 1) % s.controllers }
