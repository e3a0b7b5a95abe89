package relay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

func TestOnlyWhatARunnerServedTellsThatItNamesNoLimit(t *testing.T) {
	limit := ratelimit.Notice{IsNamed: true, PerSecond: 1}
	for name, test := range map[string]struct {
		answer Answer
		tells  bool
	}{
		"served":                    {Answer{Status: http.StatusOK, Signed: true}, true},
		"served, with a limit":      {Answer{Status: http.StatusOK, Signed: true, Limit: limit}, true},
		"not signed":                {Answer{Status: http.StatusOK}, false},
		"failed":                    {Answer{Status: http.StatusInternalServerError, Signed: true}, false},
		"failed, with a limit":      {Answer{Status: http.StatusInternalServerError, Signed: true, Limit: limit}, true},
		"rejected":                  {Answer{Status: http.StatusServiceUnavailable, NotRun: true}, false},
		"rejected, with a limit":    {Answer{Status: http.StatusServiceUnavailable, NotRun: true, Limit: limit}, true},
		"another runner":            {Answer{Status: http.StatusMisdirectedRequest, NotHeld: true}, false},
		"another runner in need":    {Answer{Status: http.StatusMisdirectedRequest, NotHeld: true, Limit: limit}, false},
		"a limit that is no number": {Answer{Status: http.StatusServiceUnavailable, Limit: ratelimit.Notice{Problem: "no number"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(test.answer.tellsLimit(), qt.Equals, test.tells)
		})
	}
}
