// Package labcommand implements the command line of the rehearsal kit.
//
// Exit codes: 0 success, 1 the run failed, 2 usage error, 3 an invariant was
// violated, 4 the second of two compared reports is worse.
package labcommand
