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
		{"ready before the wait limit", 0, 3 * time.Second, false, 0},
		{"ready after the wait limit", 0, 4100 * time.Millisecond, false, 4 * time.Second},
		{"ready much later", 0, 20 * time.Second, false, 4 * time.Second},
		{"learned late, not in time", 300 * time.Millisecond, 5 * time.Second, false, 3900 * time.Millisecond},
		{"learned late, in time", 300 * time.Millisecond, 3700 * time.Millisecond, false, 0},
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

// askUnloaded sends a request for a model that no runner holds, gives the router a forecast, and
// returns the response.
func askUnloaded(t *testing.T, router *Router, in time.Duration) (recorder *httptest.ResponseRecorder, took time.Duration) {
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

// A request whose model will not be ready in time must be rejected at once with a Retry-After.
func TestRequestForLateModelGetsRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, backend := newTestRouter(nil)
		recorder, took := askUnloaded(t, router, 4*time.Second)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		after := retryAfter(c, recorder)
		c.Assert(after, qt.Equals, fraction(5*time.Second, maxRetryShare))
		c.Assert(took < 50*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
		c.Assert(backend.runners(), qt.HasLen, 0, qt.Commentf("a request reported as not run was sent"))

		// The caller counts as waiting until it should have retried.
		demand := router.takeDemands(time.Now())
		c.Assert(demand, qt.HasLen, 1)
		c.Assert(demand[0].Waiting, qt.Equals, 1)
		pause.For(t.Context(), after+retryGrace+time.Millisecond)
		c.Assert(router.takeDemands(time.Now())[0].Waiting, qt.Equals, 0)
	})
}

// A forecast must serve later requests for the model without another request to the leader.
func TestForecastIsUsedForLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		askUnloaded(t, router, 4*time.Second)
		began := time.Now()
		recorder, _ := ask(router, t.Context(), "/stream/x", "m")
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
	})
}

// A request must wait for a load that should end in time. If it does not, the response carries the
// forecast.
func TestRequestWaitsForModelForecastInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		recorder, took := askUnloaded(t, router, time.Second)
		c.Assert(recorder.Code, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("the model is never loaded"))
		c.Assert(took > time.Second, qt.IsTrue)
		c.Assert(retryAfter(c, recorder), qt.Equals, minRetryAfter, qt.Commentf("the forecast has expired"))
	})
}

// retryAfter returns the Retry-After of a response.
func retryAfter(c *qt.C, recorder *httptest.ResponseRecorder) time.Duration {
	c.Helper()
	seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
	c.Assert(err, qt.IsNil)
	return time.Duration(math.Round(seconds * float64(time.Second)))
}

// An abandoned request must get the forecast as its Retry-After while that is fresh.
func TestAbandonedRequestGetsForecastAsRetryAfter(t *testing.T) {
	for _, test := range []struct {
		name string
		age  time.Duration
		in   time.Duration
		want time.Duration
	}{
		{"fresh forecast", 100 * time.Millisecond, 2 * time.Second, 1900*time.Millisecond + retrySlack},
		{"capped by the time left", 0, time.Minute, 4 * time.Second},
		{"ready now", 100 * time.Millisecond, 0, minRetryAfter},
		{"expired forecast", forecastTTL + time.Millisecond, 2 * time.Second, minRetryAfter},
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
				c.Assert(router.retryAfter(wanted), qt.Equals, test.want)
			})
		})
	}
}

// Services without models are not reported, so that the counts for reports must not grow.
func TestStateOfServiceWithoutModelsIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		router, _ := newTestRouter(nil)
		router.adoptView(plainView("p1"))
		row := residency.Row{Service: "plain"}
		wanted := &waiter{row: row}
		_, found := router.pick(wanted)
		c.Assert(found, qt.IsTrue)
		state := router.rowState(row)
		state.addDeferred(router.now(), wanted, &retryLaterError{after: time.Second})
		time.Sleep(time.Second + 2*retryGrace)
		c.Assert(router.takeDemands(router.now()), qt.HasLen, 0)
		c.Assert(state.deferredCallers, qt.HasLen, 0)
		c.Assert(state.prompts, qt.HasLen, 0)
	})
}
