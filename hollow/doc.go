// Package hollow runs a whole site of the size designed for in one process and in
// virtual time: every raft member, zone leader, router and engine is the real
// decision code (raft.Node, table.State, zone.State, controller.Core,
// router.Core, emulator.Engine), while sockets, disks and clocks are hollow.
//
// # Time
//
// Each zone is a partition with its own event queue. Partitions run side by side
// for one slice of virtual time and then exchange messages; a slice is no longer
// than the shortest delay between two zones, so that nothing arrives in the past.
// Equal options give equal counts, however many workers run the partitions, as
// long as the run is not cut short by its real-time limit.
//
// # Bytes
//
// Messages between daemons are encoded with gob, as net/rpc does, with the header
// of each call and without the type descriptors that a connection sends once.
// Calls to engines and the machine list count their JSON bodies. TLS, TCP and IP
// come on top.
package hollow
