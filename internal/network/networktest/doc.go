// Package networktest provides an in-memory network for tests. Its connections block
// only on condition variables and timers, so that virtual time advances in a bubble of
// testing/synctest. Such tests do not depend on the load of the machine.
//
// Errors, half-closed connections, deadlines, resets and full buffers behave as those of
// TCP on the loopback interface. Connecting and sending take no time.
package networktest
