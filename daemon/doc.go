// Package daemon wires the parts of one lotusferry process: a router for callers,
// a controller that is a member of its zone's group and perhaps of the global
// group, and the operators' interface. It decides nothing itself: decisions are
// made by the pure packages router, controller, zone and table; this package
// feeds them from the network, the disk and the clock, and carries out their
// effects.
package daemon
