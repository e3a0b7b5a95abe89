// Package raft is the consensus protocol of lotusferry as a pure state machine.
//
// A Node takes messages (Step), ticks of its own clock (Tick) and proposals
// (Propose), and hands out its effects as a Ready. It has no goroutine, clock,
// socket, file or global random source: the shell in package group feeds it, and
// so does the simulator, with the same code.
package raft
