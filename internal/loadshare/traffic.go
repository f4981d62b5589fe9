package loadshare

import "sync/atomic"

// Flow counts datagrams and their bytes. It may be used by several goroutines at once.
type Flow struct{ datagrams, bytes atomic.Int64 }

func (f *Flow) add(bytes int) {
	f.datagrams.Add(1)
	f.bytes.Add(int64(bytes))
}

// Datagrams returns the number of datagrams since the start of the process.
func (f *Flow) Datagrams() int64 { return f.datagrams.Load() }

// Bytes returns the number of bytes in them, without network headers.
func (f *Flow) Bytes() int64 { return f.bytes.Load() }

// Traffic counts the load reports that a process sends and receives, by purpose: the cost of distributing the
// fleet's loads.
type Traffic struct {
	Own      Flow // its own reports, counted once for each receiver
	PassedOn Flow // reports of other gateways that it forwards, as a relay or as a hub
	Heard    Flow
}

// Traffic returns the counters of this process. They continue to change.
func (s *Share) Traffic() *Traffic { return &s.traffic }
