// Package ctl is the command line of lotusferryctl: operators read, edit and
// watch the table, follow the site's state, drain runners, check settings, make
// keys and handle snapshots.
//
// Results go to the output as plain aligned tables, or as JSON with --json;
// errors and prompts go to the error output. The exit codes are constants of
// this package. The program starts no other process, so `table edit` leaves the
// choice and the start of an editor to the operator.
package ctl
