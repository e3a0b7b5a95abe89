// Package domain is the replicated state of one placement domain: the site document
// in force and the runners that said that they are leaving. The controllers of all
// zones of the domain form one raft group over it, because a zone with one disk
// could not bear the loss of it.
//
// The package is a pure state machine: Apply depends on nothing but the commands.
package domain
