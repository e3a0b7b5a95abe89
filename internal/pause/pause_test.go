package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/pause"
)

func TestForEndsWithDurationOrContext(t *testing.T) {
	tests := []struct {
		name    string
		context time.Duration
		passed  bool
		took    time.Duration
	}{
		{"time passes first", 2 * time.Hour, true, time.Hour},
		{"context ends first", time.Minute, false, time.Minute},
		{"context has ended", 0, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.context)
				defer cancel()
				began := time.Now()
				qt.Check(t, pause.For(ctx, time.Hour), qt.Equals, test.passed)
				qt.Check(t, time.Since(began), qt.Equals, test.took)
			})
		})
	}
}
