//go:build suspendable

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// suspensionFile is the environment variable with the path of a file that holds a simulated
// suspension in nanoseconds. Tests use it with programs built with the tag suspendable.
const suspensionFile = "LOTUSFERRY_TEST_SUSPENSION"

var suspensionPath = os.Getenv(suspensionFile)

func extraSuspension() time.Duration {
	content, err := os.ReadFile(suspensionPath)
	if err != nil {
		return 0
	}
	length, err := strconv.ParseInt(strings.TrimSpace(string(content)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(length)
}
