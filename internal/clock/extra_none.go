//go:build !suspendable

package clock

import "time"

// extraSuspension is for programs that are built to be suspended by a test.
func extraSuspension() time.Duration { return 0 }
