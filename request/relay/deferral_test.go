package relay

import (
	"math"
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
	"github.com/lotusferry/lotusferry/request/waiting"
)

func TestDeferral(t *testing.T) {
	arrived := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		waited  time.Duration
		readyIn time.Duration
		hasRun  bool
		after   time.Duration
	}{
		{"ready before it is given up", 0, 3 * time.Second, false, 0},
		{"ready after it is given up", 0, 4100 * time.Millisecond, false, 4 * time.Second},
		{"ready much too late", 0, 20 * time.Second, false, 4 * time.Second},
		{"known after a while to come too late", 300 * time.Millisecond, 5 * time.Second, false, 3900 * time.Millisecond},
		{"known after a while to come in time", 300 * time.Millisecond, 3700 * time.Millisecond, false, 0},
		{"may have run", 0, 5 * time.Second, true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			wanted := &waiter{
				ticket: waiting.Ticket{Arrived: arrived, Deadline: arrived.Add(12 * time.Second)},
				until:  arrived.Add(4 * time.Second), mayDefer: !test.hasRun,
			}
			now := arrived.Add(test.waited)
			after, isDeferred := wanted.deferral(now, now.Add(test.readyIn))
			c.Assert(isDeferred, qt.Equals, test.after > 0)
			c.Assert(after, qt.Equals, test.after)
		})
	}
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

// Nobody holds the model, and it will not be there before the request is given up: the
// caller is told at once, and when to come back.
func TestCallerOfAModelThatComesTooLateIsToldWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(nil)
		recorder, took := askForAbsent(t, router, 4*time.Second)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		after := retryAfter(c, recorder)
		c.Assert(after, qt.Equals, share(5*time.Second, returnShare))
		c.Assert(took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(backend.runners(), qt.HasLen, 0, qt.Commentf("a request that is said not to have run was sent"))

		// The caller counts as waiting until it should have come back.
		demand := router.takeDemands(time.Now())
		c.Assert(demand, qt.HasLen, 1)
		c.Assert(demand[0].Waiting, qt.Equals, 1)
		pause.For(t.Context(), after+returnLife+time.Millisecond)
		c.Assert(router.takeDemands(time.Now())[0].Waiting, qt.Equals, 0)
	})
}

// The second one for the same model learns it without asking the leader.
func TestForecastServesRequestsThatComeAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		askForAbsent(t, router, 4*time.Second)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// A load that should end while the request still waits is waited for. If it does not, the
// answer tells when it should.
func TestRequestOfAModelThatComesInTimeWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		recorder, took := askForAbsent(t, router, time.Second)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("nobody ever loads it"))
		c.Assert(took > time.Second, qt.IsTrue)
		c.Assert(retryAfter(c, recorder), qt.Equals, retryAfterNow, qt.Commentf("the forecast is old by now"))
	})
}

// retryAfter is when an answer says to come back.
func retryAfter(c *qt.C, recorder *httptest.ResponseRecorder) time.Duration {
	c.Helper()
	seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// What is given up after a wait is told when its model should be ready, as long as the
// forecast is fresh.
func TestWhatIsGivenUpIsToldWhenItsModelShouldBeReady(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		in   time.Duration
		want time.Duration
	}{
		{"fresh forecast", 100 * time.Millisecond, 2 * time.Second, 1900*time.Millisecond + returnSlack},
		{"more than a part of its time", 0, time.Minute, 4 * time.Second},
		{"ready any moment", 100 * time.Millisecond, 0, retryAfterNow},
		{"old forecast", forecastLife + time.Millisecond, 2 * time.Second, retryAfterNow},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(nil)
				row := residency.Row{Service: "engine", Model: "m"}
				router.rowState(row)
				router.adoptForecasts([]residency.Forecast{{Row: row, In: test.in}})
				pause.For(t.Context(), test.age)
				wanted := &waiter{row: row, ticket: waiting.Ticket{Deadline: time.Now().Add(12 * time.Second)}}
				c.Assert(router.comeBackIn(wanted), qt.Equals, test.want)
			})
		})
	}
}

// Nobody loads anything for a service without models, and nothing is reported of it: what is counted for
// reports must not pile up.
func TestNothingPilesUpForAServiceWithoutModels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		router.adoptView(holders("p1"))
		row := residency.Row{Service: "plain"}
		wanted := &waiter{row: row}
		_, found := router.pick(wanted)
		c.Assert(found, qt.IsTrue)
		state := router.rowState(row)
		state.expect(router.now(), wanted, time.Second)
		time.Sleep(time.Second + 2*returnLife)
		c.Assert(router.takeDemands(router.now()), qt.HasLen, 0)
		c.Assert(state.absentees, qt.HasLen, 0)
		c.Assert(state.prompts, qt.HasLen, 0)
	})
}
