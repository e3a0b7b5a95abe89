//go:build !suspendable

package clock

import "time"

// extraSuspension returns 0 without the build tag suspendable.
func extraSuspension() time.Duration { return 0 }
