package loadshare

import "sync/atomic"

// Flow counts datagrams and their bytes.
type Flow struct{ datagrams, bytes atomic.Int64 }

func (f *Flow) add(bytes int) {
	f.datagrams.Add(1)
	f.bytes.Add(int64(bytes))
}

// Datagrams is how many there were since the process's start.
func (f *Flow) Datagrams() int64 { return f.datagrams.Load() }

// Bytes is how many bytes they had, without the headers of the network.
func (f *Flow) Bytes() int64 { return f.bytes.Load() }

// Traffic is what a process sends and hears of load reports, by purpose: what it costs to know the fleet's loads.
type Traffic struct {
	Own      Flow // its own reports, each to one receiver
	PassedOn Flow // reports of other failure domains, passed on within its own
	Heard    Flow
}

// Traffic returns the counts of this process, which go on.
func (s *Share) Traffic() *Traffic { return &s.traffic }
