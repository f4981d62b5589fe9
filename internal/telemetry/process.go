package telemetry

import (
	"runtime"
	"syscall"

	"github.com/rcrowley/go-metrics"
)

// Names of the process's own metrics.
const (
	// CPUMetric is the processor time that the process has used, in microseconds.
	CPUMetric = "process.cpu_us"
	// MaxRSSMetric is the largest resident memory so far, in kilobytes.
	MaxRSSMetric = "process.max_rss_kb"
	// GoroutinesMetric counts goroutines.
	GoroutinesMetric = "process.goroutines"
)

// RegisterProcess adds the process's own metrics to reg.
func RegisterProcess(reg metrics.Registry) {
	goroutines := func() int64 { return int64(runtime.NumGoroutine()) }
	reg.GetOrRegister(CPUMetric, metrics.NewFunctionalGauge(CPUMicros))
	reg.GetOrRegister(MaxRSSMetric, metrics.NewFunctionalGauge(maxRSS))
	reg.GetOrRegister(GoroutinesMetric, metrics.NewFunctionalGauge(goroutines))
}

// CPUMicros returns the processor time that this process has used, user and
// system, in microseconds; 0 if the system does not say.
func CPUMicros() int64 {
	u, ok := usage()
	if !ok {
		return 0
	}
	return micros(u.Utime) + micros(u.Stime)
}

func micros(t syscall.Timeval) int64 { return t.Sec*1e6 + int64(t.Usec) }

func maxRSS() int64 {
	u, _ := usage()
	return u.Maxrss
}

func usage() (syscall.Rusage, bool) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return u, err == nil
}
