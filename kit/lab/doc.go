// Package lab runs rehearsals of a complete site on one machine. The daemons run as
// separate processes; the emulated engines, weight store and machine list run in the
// process of the lab. The package generates load and faults, and checks invariants
// against records kept outside the daemons.
//
// All traffic uses loopback addresses, and every run is limited in time. The package
// terminates only processes that it started.
package lab
