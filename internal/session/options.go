package session

import (
	"cmp"
	"time"

	"github.com/hashicorp/go-hclog"

	"arbutusramp/core/structs"
	"arbutusramp/internal/settings"
)

const (
	// DefaultHeartbeat is the time between two heartbeats of a peer.
	DefaultHeartbeat = time.Second
	// SilentFor is how long a peer may be silent, at DefaultHeartbeat, before its session counts as lost.
	SilentFor = silentBeats * DefaultHeartbeat
	// DefaultMaxMessage bounds one WebSocket message, in bytes.
	DefaultMaxMessage = 32 << 20
	// DefaultMaxQueue bounds what waits to be sent, in bytes of payload.
	DefaultMaxQueue = 64 << 20

	silentBeats      = 3 // heartbeats that a peer may miss
	handshakeTimeout = 5 * time.Second
	flushTimeout     = time.Second // for the last frames of a session that closes
	messageTarget    = 256 << 10   // bytes after which the writer starts another message
	maxQueuedFrames  = 1 << 17
	ioBuffer         = 32 << 10
	path             = "/session"
)

// Handler receives what happens to sessions. Per session the calls come one
// after another from one goroutine; none may block.
type Handler interface {
	// Opened is called once, before the first Frame.
	Opened(c *Conn)
	// Frame hands over one frame; the callee owns it.
	Frame(c *Conn, f *structs.Frame)
	// Closed is called once, after the last Frame. err is an *errs.Error.
	Closed(c *Conn, err error)
}

// Options are the settings of one end of a session.
type Options struct {
	// Hello says who this end is; Protocol, Nonce, KeyID and Proof are filled in here.
	Hello structs.Hello
	// PeerKeys returns the keys that are valid now; the first is used to dial.
	PeerKeys func() []settings.PeerKey
	// RetiredKey says whether a peer key was valid once, so that a peer that still uses it
	// is told so; nil knows none.
	RetiredKey func(id string) bool
	Logger     hclog.Logger
	// Heartbeat is the time between heartbeats, 0 for DefaultHeartbeat. A peer that is silent
	// for three is given up.
	Heartbeat time.Duration
	// MaxMessage bounds one message, 0 for DefaultMaxMessage.
	MaxMessage int64
	// MaxQueue bounds the bytes that wait to be sent, 0 for DefaultMaxQueue.
	MaxQueue int
	// Version, if set, gives the configuration version that heartbeats carry.
	Version func() structs.Version
}

func (o Options) withDefaults() Options {
	o.Heartbeat = cmp.Or(o.Heartbeat, DefaultHeartbeat)
	o.MaxMessage = cmp.Or(o.MaxMessage, DefaultMaxMessage)
	o.MaxQueue = cmp.Or(o.MaxQueue, DefaultMaxQueue)
	o.Logger = cmp.Or(o.Logger, hclog.NewNullLogger())
	return o
}
