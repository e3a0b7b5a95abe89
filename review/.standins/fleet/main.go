// Command fleet plays a case of the review: a small deployment of lotusferry's own processes on loopback addresses,
// with stand-ins for clients, runners and the operator. It exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// longest is the longest time that a case may take.
const longest = 110 * time.Second

// endAfter ends all processes and the program after a time, or at a signal.
func (s *site) endAfter(limit time.Duration) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(limit):
	}
	s.close()
	s.record.close()
	os.Exit(exitNotRun)
}

func main() {
	name := flag.String("case", "", "the case to play")
	binary := flag.String("binary", "target/lotusferry", "program of the deploy file")
	path := flag.String("record", "record.txt", "file for the record")
	folder := flag.String("folder", "", "temporary folder for settings, data and logs")
	flag.Parse()
	os.Exit(play(*name, *binary, *path, *folder, os.Getenv("TROUBLE") != "0"))
}

func play(name, binary, path, folder string, hasTrouble bool) int {
	into, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer into.close()
	s, err := newSite(binary, folder, into)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer s.close()
	go s.endAfter(longest)
	played, isKnown := cases[name]
	if !isKnown {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	broken, err := played(s, hasTrouble)
	if err != nil {
		into.write("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
