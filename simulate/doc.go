// Package simulate runs whole sites of lotusferry in one process and in virtual
// time, with faults, from one seed.
//
// The code that decides (raft, table, zone, controller) is the daemon's own. The
// simulator replaces only what the shells own: clocks, sockets, disks and the
// life of processes. Everything that happens in a seed follows from the seed, so
// the same seed gives the same trace byte for byte. The invariants are judged by
// checkers that keep records of their own.
package simulate
