// Package capacity measures the resource cost of each role against the variables
// that drive it. Each result is a linear fit over several sizes with its residual
// error. docs/CAPACITY.md derives the capacity at the design size from the slopes.
//
// Heap is the growth of runtime.MemStats.HeapAlloc between two garbage
// collections. Processor time is that of the process (getrusage): it includes
// garbage collection and excludes other processes. Each value is the minimum over
// several rounds of many iterations. Bytes are encoded sizes: gob for net/rpc,
// msgpack for logs and snapshots, JSON for engines.
package capacity
