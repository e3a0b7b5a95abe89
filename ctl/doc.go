// Package ctl implements the command line of lotusferryctl. Operators use it to
// read, edit and watch the table, show the state of the site, drain runners and
// daemons, change group members, check settings, create keys, and save and restore
// snapshots.
//
// Results are written to the standard output as aligned tables, or as JSON with
// --json. Errors and prompts are written to the standard error. The exit codes are
// constants of this package. The program starts no other process, so `table edit`
// does not open an editor.
package ctl
