package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/versions"
)

// assertToldAtOnce checks that a caller was told that its stream cannot go on, without a time to come back.
func assertToldAtOnce(c *qt.C, backend *scriptedBackend, recorder *httptest.ResponseRecorder, took time.Duration) {
	c.Helper()
	c.Assert(backend.runners(), qt.HasLen, 0)
	c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(recorder.Header().Get("Retry-After"), qt.Equals, "")
	c.Assert(took, qt.Equals, time.Duration(0))
}

// Guards against a stream that goes on at another service, as that has a runner of a version with the same name: its route led to the
// service that began it, and does no longer.
func TestStreamOfFormerServiceIsNotTakenUpElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		other := "engine" + otherService
		router, backend := newSplitRouter(engineAt("engine", "s1"), engineAt(other, "s1"))
		document := changingDocument(3)
		routes(moveRoute)(document)
		router.adoptDocument(document)
		recorder, took := takeUp(router, versions.Record{Service: "engine", Version: "v1"})
		assertToldAtOnce(c, backend, recorder, took)
	})
}

// Guards against a caller that is held to the end of its wait because runners of its stream's version are left in other regions than its
// own alone, from the beginning or while it waits.
func TestVersionThatIsLeftInOtherRegionsIsGone(t *testing.T) {
	newer := engineAt("engine", "s1")
	newer.Instance, newer.Address, newer.Version = "newer", "newer", "v2"
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newSplitRouter(engineAt("engine", "n1"), newer)
		recorder, took := takeUp(router, versions.Record{Service: "engine", Version: "v1"})
		assertToldAtOnce(c, backend, recorder, took)
	})
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		busy := engineAt("engine", "s1")
		busy.Cold = true
		router, backend := newSplitRouter(engineAt("engine", "n1"), busy)
		const goneAfter = 100 * time.Millisecond
		time.AfterFunc(goneAfter, func() {
			router.adoptView(fleet.View{Complete: true, Runners: []fleet.Runner{engineAt("engine", "n1"), newer}})
		})
		recorder, took := takeUp(router, versions.Record{Service: "engine", Version: "v1"})
		assertToldAtOnce(c, backend, recorder, took-goneAfter)
	})
}
