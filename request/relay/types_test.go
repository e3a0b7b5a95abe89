package relay

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/placement/notice"
	"github.com/lotusferry/lotusferry/placement/ratelimit"
)

func TestOnlySuccessProvesAbsenceOfLimit(t *testing.T) {
	limit := notice.Notice{Limit: ratelimit.Notice{IsNamed: true, PerSecond: 1}}
	for name, test := range map[string]struct {
		answer Answer
		tells  bool
	}{
		"served":                       {Answer{Status: http.StatusOK, Signed: true}, true},
		"served, with a limit":         {Answer{Status: http.StatusOK, Signed: true, Notice: limit}, true},
		"not signed":                   {Answer{Status: http.StatusOK}, false},
		"failed":                       {Answer{Status: http.StatusInternalServerError, Signed: true}, false},
		"failed, with a limit":         {Answer{Status: http.StatusInternalServerError, Signed: true, Notice: limit}, true},
		"rejected":                     {Answer{Status: http.StatusServiceUnavailable, NotRun: true}, false},
		"rejected, with a limit":       {Answer{Status: http.StatusServiceUnavailable, NotRun: true, Notice: limit}, true},
		"another runner":               {Answer{Status: http.StatusMisdirectedRequest, NotHeld: true}, false},
		"another runner, with a limit": {Answer{Status: http.StatusMisdirectedRequest, NotHeld: true, Notice: limit}, false},
		"malformed limit":              {Answer{Status: http.StatusServiceUnavailable, Notice: notice.Notice{Limit: ratelimit.Notice{Problem: "no number"}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			qt.New(t).Assert(test.answer.tellsLimit(), qt.Equals, test.tells)
		})
	}
}
