// Package inbound accounts for what clients hold of the memory and the descriptors of a process: connections with their
// buffers, heads and bodies of requests, and what is decoded from them. All listeners of a process take from one Account
// before they allocate, and give back when a request or its connection ends.
//
// Clients are not trusted. Under pressure, the account ends the clients that have kept the process waiting for longest, and
// refuses what does not fit. Requests that hold little have a reserve that the others can't use.
package inbound

import (
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Host is what a process may use of its host.
type Host struct {
	MemoryBytes int64
	Descriptors int64
}

const (
	// megabyte is the unit of the memory in settings, in bytes.
	megabyte = 1_000_000
	// maxReportedMemory and maxReportedDescriptors bound what is taken from the system's report, which may be that of a host
	// that the process shares with others.
	maxReportedMemory      = 1000 * megabyte
	maxReportedDescriptors = 16384
	// runtimeShare is the share of the host's memory from which on the Go runtime collects garbage at any cost. The rest is
	// for the buffers of sockets and what the runtime does not count, such as the program itself.
	runtimeShare = 0.7
)

// NewHost returns a host of the given memory, in megabytes, and number of descriptors. Zero values stand for what the system
// reports. Error: the system does not report it.
func NewHost(memoryMB, descriptors int) (Host, error) {
	h := Host{MemoryBytes: int64(memoryMB) * megabyte, Descriptors: int64(descriptors)}
	if h.MemoryBytes == 0 {
		var info unix.Sysinfo_t
		if err := unix.Sysinfo(&info); err != nil {
			return Host{}, errors.Wrap(err, "read the memory of the host")
		}
		h.MemoryBytes = int64(min(uint64(info.Totalram)*uint64(info.Unit), maxReportedMemory))
	}
	if h.Descriptors == 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return Host{}, errors.Wrap(err, "read the limit of descriptors")
		}
		h.Descriptors = int64(min(limit.Cur, maxReportedDescriptors))
	}
	return h, nil
}

// RuntimeBytes returns the memory that the Go runtime should stay within, in bytes; see debug.SetMemoryLimit.
func (h Host) RuntimeBytes() int64 { return int64(runtimeShare * float64(h.MemoryBytes)) }
