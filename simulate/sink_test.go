package simulate

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestSink(t *testing.T) {
	seed, _ := strconv.Atoi(os.Getenv("SINK"))
	if seed == 0 {
		t.Skip("trial")
	}
	r, _ := Run(Options{Seed: uint64(seed), Seeds: 1, Mutation: os.Getenv("MUTATION"), Sink: func(l string) { fmt.Println(l) }})
	fmt.Println(r.Violations)
}
