package relay

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/placement/site"
)

func TestDeferral(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		waited  time.Duration
		readyIn time.Duration
		first   bool
		after   time.Duration
	}{
		{"ready in time", 0, 700 * time.Millisecond, true, 0},
		{"ready too late", 0, 3 * time.Second, true, 3*time.Second + returnSlack},
		{"ready much too late", 0, 20 * time.Second, true, 4 * time.Second},
		{"too late for a prompt refusal", 300 * time.Millisecond, 3 * time.Second, true, 0},
		{"has come back already", 0, 3 * time.Second, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			wanted := &waiter{since: arrived, objective: time.Second, deadline: arrived.Add(12 * time.Second), mayDefer: test.first}
			now := arrived.Add(test.waited)
			after, isDeferred := wanted.deferral(now, now.Add(test.readyIn))
			c.Assert(isDeferred, qt.Equals, test.after > 0)
			c.Assert(after, qt.Equals, test.after)
		})
	}
}

func TestFirstTriesAreToldByTheTimeThatTheirCallersGive(t *testing.T) {
	c := qt.New(t)
	router, _ := newTestRouter(nil)
	c.Assert(router.noteWait("r", 0), qt.IsFalse, qt.Commentf("no time was given"))
	c.Assert(router.noteWait("r", 10*time.Second), qt.IsTrue)
	c.Assert(router.noteWait("r", 6*time.Second), qt.IsFalse)
	c.Assert(router.noteWait("r", 10*time.Second), qt.IsTrue)
	c.Assert(router.noteWait("r", time.Hour), qt.IsTrue)
	for range 600 {
		router.noteWait("r", 10*time.Second)
	}
	c.Assert(router.noteWait("r", 10*time.Second), qt.IsTrue, qt.Commentf("one caller with much time does not count for ever"))
	router.forgetWaits(&site.Document{})
	c.Assert(router.longestWaits, qt.HasLen, 0)
}

// askForAbsent sends a request for a model that no runner holds, and returns its answer
// once forecast has been told to the router.
func askForAbsent(t *testing.T, router *Router, in time.Duration) (recorder *httptest.ResponseRecorder, took time.Duration) {
	t.Helper()
	router.adoptView(fleet.View{Complete: true})
	began := time.Now()
	done := make(chan struct{})
	go func() {
		defer close(done)
		recorder, _ = ask(router, t.Context(), "/stream/x", "m")
	}()
	synctest.Wait()
	row := residency.Row{Service: "engine", Model: "m"}
	router.adoptForecasts([]residency.Forecast{{Row: row, In: in}})
	<-done
	return recorder, time.Since(began)
}

// Nobody holds the model and its load takes longer than the objective: the caller is told
// at once, and how long the load should take.
func TestCallerOfAModelThatComesTooLateIsToldWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(nil)
		recorder, took := askForAbsent(t, router, time.Second)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Assert(after, qt.Equals, (time.Second + returnSlack).Seconds())
		c.Assert(took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(backend.runners(), qt.HasLen, 0, qt.Commentf("a request that is said not to have run was sent"))

		// The caller counts as waiting until it should have come back.
		demand := router.takeDemands(time.Now())
		c.Assert(demand, qt.HasLen, 1)
		c.Assert(demand[0].Waiting, qt.Equals, 1)
		pause.For(t.Context(), time.Second+returnSlack+returnLife+time.Millisecond)
		c.Assert(router.takeDemands(time.Now())[0].Waiting, qt.Equals, 0)
	})
}

// The second one for the same model learns it without asking the leader.
func TestForecastServesRequestsThatComeAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		askForAbsent(t, router, time.Second)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

func TestRequestOfAModelThatComesInTimeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		recorder, took := askForAbsent(t, router, 100*time.Millisecond)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("nobody ever loads it"))
		c.Assert(took > time.Second, qt.IsTrue)
	})
}
