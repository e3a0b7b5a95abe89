package zone

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the random tests; the command line may name another.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "20260504"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
