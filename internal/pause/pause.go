package pause

import (
	"context"
	"time"
)

// For waits for the duration and reports whether it passed. It returns false as soon as
// ctx ends.
func For(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
