// Package networktest is a network in the memory of one process, for tests. Its
// connections wait on nothing but condition variables and timers, so that inside a
// bubble of testing/synctest virtual time passes whenever every goroutine waits. The
// verdict of such a test does not depend on the load of the machine.
//
// Its errors, half-closed connections, deadlines, resets and full buffers are those
// of TCP on the loopback interface; connecting and sending take no time.
package networktest
