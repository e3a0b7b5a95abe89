// Package capacity measures what each role costs for each driver of its cost, as
// a slope over several sizes with the error of the fit. docs/CAPACITY.md works
// out the size designed for from these slopes.
//
// Heap is the growth of runtime.MemStats.HeapAlloc over a garbage collection
// before and after. Processor time is that of the whole process (getrusage), so
// that it holds the garbage collector's part and not the time in which other
// processes had the processor; each value is the least of several rounds of many
// iterations. Bytes are those of the codec in use: gob for net/rpc, msgpack for
// logs and snapshots, JSON for engines.
package capacity
