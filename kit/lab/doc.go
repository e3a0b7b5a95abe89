// Package lab is the rehearsal kit: it brings up a whole site on one machine,
// with the daemons as processes of their own and the stand-in engines, weight
// store and machine list in the kit's process, puts load and faults on it, and
// checks what must always hold from records kept outside the daemons.
//
// All traffic stays on loopback addresses, and every run is bounded in time. The
// kit ends only processes that it started.
package lab
