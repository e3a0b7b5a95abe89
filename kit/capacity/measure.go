package capacity

import (
	"encoding/gob"
	"encoding/json"
	"net/rpc"
	"runtime"
	"slices"
	"syscall"
	"time"
)

const (
	// roundTime is the least processor time of one round of a CPU measurement.
	roundTime = 15 * time.Millisecond
	// rounds is how many rounds the least is taken of: other work on the machine
	// only ever adds to a round.
	rounds = 9
)

// heapOf returns the heap that what make returns keeps alive, in bytes.
func heapOf(make func() any) float64 {
	before := liveHeap()
	kept := make()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// heapBeside is heapOf for something made of an input that is alive before and
// after, so that only what is kept of it counts.
func heapBeside[T any](input T, make func(T) any) float64 {
	size := heapOf(func() any { return make(input) })
	runtime.KeepAlive(&input)
	return size
}

func liveHeap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// cpuOf returns the processor time of one call, in microseconds.
func cpuOf(call func()) float64 {
	call()
	runtime.GC()
	var measured []float64
	for range rounds {
		began := processTime()
		calls := 0
		for processTime()-began < roundTime {
			call()
			calls++
		}
		measured = append(measured, float64((processTime()-began).Nanoseconds())/1e3/float64(calls))
	}
	return slices.Min(measured)
}

// batchCPU returns the processor time of one of count equal pieces of work that
// one call does, in microseconds.
func batchCPU(count int, call func()) float64 { return cpuOf(call) / float64(count) }

// processTime is the processor time that this process has taken.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countedWriter counts what is written to it.
type countedWriter struct{ bytes int }

// Write implements io.Writer.
func (w *countedWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// callSequence stands for the number of a call on a long connection.
const callSequence = 1 << 20

// gobBytes returns the bytes of a value on a connection that has carried its type
// before.
func gobBytes(value any) float64 {
	var writer countedWriter
	encoder := gob.NewEncoder(&writer)
	for range 2 {
		writer.bytes = 0
		if err := encoder.Encode(value); err != nil {
			panic(err)
		}
	}
	return float64(writer.bytes)
}

// requestBytes and replyBytes add the header of net/rpc.
func requestBytes(method string, arguments any) float64 {
	return gobBytes(rpc.Request{ServiceMethod: method, Seq: callSequence}) + gobBytes(arguments)
}

func replyBytes(method string, reply any) float64 {
	return gobBytes(rpc.Response{ServiceMethod: method, Seq: callSequence}) + gobBytes(reply)
}

func jsonBytes(value any) float64 {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return float64(len(encoded))
}

// must returns the value of a call that cannot fail with the probes' own input.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
