package relay

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/request/tunnel"
)

// Guards against a runner that gets no requests any more since a former one at its address was leaving.
func TestPeerNoticeIsForOneIncarnation(t *testing.T) {
	c := qt.New(t)
	router, _ := newTestRouter(always(fine))
	told := tunnel.Notice{Runner: "p1", Instance: "p0", Cooldown: time.Minute, IsLeaving: true}
	router.takeNotice(told)
	c.Assert(router.isUnwilling("p1"), qt.IsFalse)
	router.mutex.Lock()
	router.observePeerNotices("peer", []tunnel.Notice{told, {Runner: "p1", IsLeaving: true}})
	router.mutex.Unlock()
	c.Assert(router.isUnwilling("p1"), qt.IsFalse)
	told.Instance = "p1"
	router.takeNotice(told)
	c.Assert(router.isUnwilling("p1"), qt.IsTrue)
	router.mutex.Lock()
	c.Assert(router.toldNotices(), qt.HasLen, 1)
	router.mutex.Unlock()
}
