package simulate

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestTrial(t *testing.T) {
	seeds, _ := strconv.Atoi(os.Getenv("SEEDS"))
	first, _ := strconv.Atoi(os.Getenv("SEED"))
	if seeds == 0 {
		t.Skip("trial")
	}
	stop, _ := strconv.Atoi(os.Getenv("STOP"))
	r, err := Run(Options{Seed: uint64(first), Seeds: seeds, Mutation: os.Getenv("MUTATION"), StopAfter: stop, Workers: 6})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Printf("%s seeds %d hours %.2f real %.2f per second %.3f\n%+v\n", r.TraceHash, r.Seeds, r.SimulatedHours, r.RealSeconds, r.SimulatedHours/r.RealSeconds, r.Counts)
	by := map[string]int{}
	for i, v := range r.Violations {
		by[v.Checker]++
		if i < 3 || by[v.Checker] <= 2 {
			fmt.Println(v.Seed, v.Checker, v.Message, v.At)
		}
		if os.Getenv("TRACE") != "" && i < 1 {
			for _, l := range v.Trace {
				fmt.Println("   ", l)
			}
		}
	}
	fmt.Println(by)
}
