// Package explain tells from the logs of many processes what became of one request: its
// own lines in order, the changes of belief that bear on it, and what they point to.
//
// Times are those that each process wrote. Where the clock of one differs, an effect may
// stand before its cause; Account.Clocks says by how much a process's clock is behind at
// least, as far as documents that came into force show it.
package explain
