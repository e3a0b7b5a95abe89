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
	// minRoundTime is the minimum processor time of a round of a CPU measurement.
	minRoundTime = 15 * time.Millisecond
	// rounds is the number of rounds. The minimum is used, as interference from other
	// processes only adds time.
	rounds = 9
)

// retainedHeap returns the heap size in bytes of all that the result of make keeps
// reachable.
func retainedHeap(make func() any) float64 {
	before := liveHeap()
	kept := make()
	after := liveHeap()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

// retainedHeapBeside is like retainedHeap, but excludes input, which stays reachable
// during the measurement.
func retainedHeapBeside[T any](input T, make func(T) any) float64 {
	size := retainedHeap(func() any { return make(input) })
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

// cpuTime returns the processor time of one call in microseconds.
func cpuTime(call func()) float64 {
	call()
	runtime.GC()
	var measured []float64
	for range rounds {
		began := processTime()
		calls := 0
		for processTime()-began < minRoundTime {
			call()
			calls++
		}
		measured = append(measured, float64((processTime()-began).Nanoseconds())/1e3/float64(calls))
	}
	return slices.Min(measured)
}

// batchCPU returns the processor time in microseconds of each of the count equal
// operations in one call.
func batchCPU(count int, call func()) float64 { return cpuTime(call) / float64(count) }

// processTime returns the user and system time used by this process.
func processTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// countingWriter counts the bytes written to it.
type countingWriter struct{ bytes int }

// Write implements io.Writer.
func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytes += len(data)
	return len(data), nil
}

// callSequence is a typical sequence number on a long-lived connection.
const callSequence = 1 << 20

// gobBytes returns the encoded size of a value on a connection that has already
// transmitted its type.
func gobBytes(value any) float64 {
	var writer countingWriter
	encoder := gob.NewEncoder(&writer)
	for range 2 {
		writer.bytes = 0
		if err := encoder.Encode(value); err != nil {
			panic(err)
		}
	}
	return float64(writer.bytes)
}

// requestBytes returns the encoded size of a request with its net/rpc header.
func requestBytes(method string, arguments any) float64 {
	return gobBytes(rpc.Request{ServiceMethod: method, Seq: callSequence}) + gobBytes(arguments)
}

// replyBytes returns the encoded size of a reply with its net/rpc header.
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

// must returns value and panics if err is not nil.
func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}
