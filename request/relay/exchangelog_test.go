package relay

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/go-kit/log"

	qt "github.com/frankban/quicktest"
)

// Guards against a refusal of which the log does not tell whether the caller was promised that the request had not run, and
// whether a runner may have run it.
func TestLogTellsAnswerAndRunsOfUnservedRequests(t *testing.T) {
	for _, test := range []struct {
		name         string
		attempt      func() (*Answer, error)
		status, runs int
	}{
		{"rejected by runners", shed, http.StatusServiceUnavailable, 0},
		{"not sent", notSent, http.StatusServiceUnavailable, 0},
		{"lost", broken, http.StatusBadGateway, 1},
		{"failed", failed, http.StatusInternalServerError, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				router, _ := newTestRouter(func(context.Context, *Attempt) (*Answer, error) { return test.attempt() })
				var lines bytes.Buffer
				router.logger = log.NewLogfmtLogger(log.NewSyncWriter(&lines))
				recorder, _ := ask(router, t.Context(), "/once/x", "")
				c.Assert(recorder.Code, qt.Equals, test.status)
				line := lineWith(lines.String(), "without a runner's success")
				c.Assert(line, qt.Contains, fmt.Sprintf(" answered=%d ", test.status))
				c.Assert(line, qt.Contains, fmt.Sprintf(" runs=%d ", test.runs))
			})
		})
	}
}

// lineWith returns the first line that contains the text, or "".
func lineWith(lines, text string) string {
	for line := range strings.Lines(lines) {
		if strings.Contains(line, text) {
			return line
		}
	}
	return ""
}
