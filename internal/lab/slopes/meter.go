package slopes

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"syscall"
	"time"
)

// minLoop is how long a loop runs at least, so that the clock's steps don't show.
const minLoop = 30 * time.Millisecond

// cpuTime returns the processor time that this process has used, user and system.
func cpuTime() time.Duration {
	var u syscall.Rusage
	// It fails only for a bad argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuDuring returns the processor time of f, microseconds.
func cpuDuring(f func()) float64 {
	before := cpuTime()
	f()
	return micros(cpuTime() - before)
}

// settle collects garbage, so that what came before is not paid for in what is measured next.
func settle() { runtime.GC() }

// cpuEach returns the processor time of one f, microseconds, from as many as fill minLoop.
func cpuEach(f func()) float64 {
	settle()
	n := 0
	began := time.Now()
	used := cpuDuring(func() {
		for time.Since(began) < minLoop {
			f()
			n++
		}
	})
	return used / float64(n)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// Classes of runtime/metrics that make up what live data takes.
const (
	heapObjects = "/memory/classes/heap/objects:bytes"
	stacks      = "/memory/classes/heap/stacks:bytes"
)

// liveBytes returns what heap objects and stacks take after garbage is collected.
// Two collections: the first empties pools, the second frees what they held, and
// stacks shrink during one. Kernel memory (socket buffers) is not in it.
func liveBytes() float64 {
	const collections = 3
	for range collections {
		runtime.GC()
	}
	debug.FreeOSMemory()
	s := []metrics.Sample{{Name: heapObjects}, {Name: stacks}}
	metrics.Read(s)
	return float64(s[0].Value.Uint64() + s[1].Value.Uint64())
}

// liveOf returns what the value that build returns takes in memory, in bytes.
func liveOf(build func() (any, error)) (float64, error) {
	before := liveBytes()
	v, err := build()
	after := liveBytes()
	runtime.KeepAlive(v)
	return after - before, err
}
