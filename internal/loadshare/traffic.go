package loadshare

import "sync/atomic"

// Flow counts the datagrams of one kind and the bytes in them. It may be used by several goroutines at once.
type Flow struct{ datagrams, bytes atomic.Int64 }

// add counts one datagram with a payload of the given size.
func (f *Flow) add(payloadBytes int) {
	f.datagrams.Add(1)
	f.bytes.Add(int64(payloadBytes))
}

// Datagrams returns the number of counted datagrams since the start of the process.
func (f *Flow) Datagrams() int64 { return f.datagrams.Load() }

// Bytes returns the total payload size of the counted datagrams, without network headers.
func (f *Flow) Bytes() int64 { return f.bytes.Load() }

// Traffic counts the datagrams with load reports that a process sends and receives. They are the cost of
// distributing the loads of the fleet.
type Traffic struct {
	Own       Flow // sent with the process's own report, counted once for each receiver
	Forwarded Flow // sent with reports of other gateways, as a hub or after IsForwardRequested, or with descriptions of gateways
	Messages  Flow // sent by SendMessage
	Received  Flow // all received datagrams, including batches of hubs
}

// Traffic returns the counters of this process. They continue to change.
func (s *Sharer) Traffic() *Traffic { return &s.traffic }
