//go:build suspendable

package clock

import (
	"os"
	"strconv"
	"strings"
	"time"
)

// suspensionFile names a file with nanoseconds for which the machine is to seem suspended, in
// programs that are built with the tag suspendable: nobody can suspend a machine for a test.
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
