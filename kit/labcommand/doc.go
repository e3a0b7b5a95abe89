// Package labcommand is the command line of the rehearsal kit.
//
// Exit codes: 0 all held, 1 the run failed, 2 wrong usage, 3 a violation was found,
// 4 the second of two compared reports is worse.
package labcommand
