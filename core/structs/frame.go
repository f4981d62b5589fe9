package structs

import "arbutusramp/core/errs"

// ProtocolVersion is sent in Hello; a peer with another major version is refused.
const ProtocolVersion = 1

// Frame is one message between an entry and a side. Exactly one of the pointer
// fields is set. A WebSocket message holds a CBOR array of frames, so that many
// small frames share one system call.
type Frame struct {
	// Stream multiplexes requests over a session; 0 is the session itself.
	// The entry chooses it and never uses one twice in a session.
	Stream uint64 `cbor:"1,keyasint,omitempty"`
	// Version is the sender's configuration version.
	Version Version `cbor:"2,keyasint,omitempty"`

	Hello    *Hello     `cbor:"3,keyasint,omitempty"`
	Open     *Open      `cbor:"4,keyasint,omitempty"`
	Cancel   *Cancel    `cbor:"5,keyasint,omitempty"`
	Credit   *Credit    `cbor:"6,keyasint,omitempty"`
	Head     *Head      `cbor:"7,keyasint,omitempty"`
	Data     *Data      `cbor:"8,keyasint,omitempty"`
	End      *End       `cbor:"9,keyasint,omitempty"`
	Load     *Load      `cbor:"10,keyasint,omitempty"`
	Pull     *Pull      `cbor:"11,keyasint,omitempty"`
	Items    *Items     `cbor:"12,keyasint,omitempty"`
	ItemDone *ItemDone  `cbor:"13,keyasint,omitempty"`
	ItemStop *ItemStop  `cbor:"14,keyasint,omitempty"`
	Config   *ConfigMsg `cbor:"15,keyasint,omitempty"`
	ItemAck  *ItemAck   `cbor:"16,keyasint,omitempty"`

	Beat      *Beat      `cbor:"17,keyasint,omitempty"`
	Order     *Order     `cbor:"18,keyasint,omitempty"`
	OrderDone *OrderDone `cbor:"19,keyasint,omitempty"`
	Fence     *Fence     `cbor:"20,keyasint,omitempty"`
	Crashes   *Crashes   `cbor:"21,keyasint,omitempty"`
}

// Crashes are records of requests under which targets have crashed, each as quarantine.Record encodes it. Entries send them to sides, which
// pass them on to the other entries: these may not reach the log service, through which they share the records otherwise.
type Crashes struct {
	Records [][]byte `cbor:"1,keyasint"`
}

// Beat is a heartbeat; sessions handle it themselves. A peer sends Echo back at
// once, so that the sender knows that the peer was alive after it sent Sent, and
// that it has read all that the peer had sent before the echo. A time of
// arrival can't tell that: after a pause, old frames arrive too.
type Beat struct {
	Sent int64 `cbor:"1,keyasint,omitempty"` // sender's own clock, ns; opaque to the peer
	Echo int64 `cbor:"2,keyasint,omitempty"` // Sent of the Beat that is answered
}

// Order asks a side to pass an order to its target. The side passes on one at
// a time and refuses a lower Fence than it has seen.
type Order struct {
	ID      uint64  `cbor:"1,keyasint"` // chosen by the sender, comes back in OrderDone
	Fence   Epoch   `cbor:"2,keyasint"`
	Op      string  `cbor:"3,keyasint"` // load, unload or role
	Model   ModelID `cbor:"4,keyasint,omitempty"`
	Version string  `cbor:"5,keyasint,omitempty"`
	Adapter string  `cbor:"6,keyasint,omitempty"`
	Role    string  `cbor:"7,keyasint,omitempty"`
}

// OrderDone answers an Order. Err is nil when the target took it.
type OrderDone struct {
	ID  uint64      `cbor:"1,keyasint"`
	Err *errs.Error `cbor:"2,keyasint,omitempty"`
}

// Fence tells a side that has just started the highest fencing number that any order can have had
// until it asked. Without it the side would take a late order of an owner whose successor it has
// served before it was restarted.
type Fence struct {
	// Ask is a side's question.
	Ask bool `cbor:"1,keyasint,omitempty"`
	// Highest is the answer: the newest epoch in the log, read after the question came.
	Highest Epoch `cbor:"2,keyasint,omitempty"`
}

// Hello is the first frame in both directions.
type Hello struct {
	Protocol int           `cbor:"1,keyasint"`
	Host     HostID        `cbor:"2,keyasint"`
	Domain   FailureDomain `cbor:"3,keyasint"`
	Region   Region        `cbor:"4,keyasint,omitempty"`
	// Incarnation differs after each start of the process (milliseconds since 1970).
	Incarnation int64 `cbor:"5,keyasint"`
	// Targets says what stands behind a side; empty from an entry.
	Targets []TargetInfo `cbor:"6,keyasint,omitempty"`
	// Proof is an HMAC-SHA256 over the fields above and the peer's nonce,
	// under the key that KeyID names.
	Nonce []byte `cbor:"7,keyasint,omitempty"`
	KeyID string `cbor:"8,keyasint,omitempty"`
	Proof []byte `cbor:"9,keyasint,omitempty"`
}

// TargetKind tells model engines from plain services.
type TargetKind uint8

const (
	// KindEngine is a model engine.
	KindEngine TargetKind = iota + 1
	// KindService is a plain service.
	KindService
)

// TargetInfo is what a side says about its target.
type TargetInfo struct {
	ID      TargetID   `cbor:"1,keyasint" json:"id"`
	Kind    TargetKind `cbor:"2,keyasint" json:"kind"`
	Models  []ModelID  `cbor:"3,keyasint,omitempty" json:"models,omitempty"`
	Service ServiceID  `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	// ChecksFence says that the target refuses orders with an old fencing number.
	ChecksFence bool `cbor:"5,keyasint,omitempty" json:"checks_fence,omitempty"`
}

// Header is one HTTP header field.
type Header struct {
	Name  string `cbor:"1,keyasint"`
	Value string `cbor:"2,keyasint"`
}

// Open asks a side to run one request.
type Open struct {
	Request   RequestID   `cbor:"1,keyasint"`
	Target    TargetID    `cbor:"2,keyasint"`
	Class     Class       `cbor:"3,keyasint,omitempty"`
	Workspace WorkspaceID `cbor:"4,keyasint,omitempty"`
	// Generate is set for model requests; nil means a call of a plain service.
	Generate *Generate `cbor:"5,keyasint,omitempty"`
	Method   string    `cbor:"6,keyasint,omitempty"`
	Path     string    `cbor:"7,keyasint,omitempty"` // path and query at the target
	Headers  []Header  `cbor:"8,keyasint,omitempty"`
	Body     []byte    `cbor:"9,keyasint,omitempty"` // the caller's body, unchanged
	// TimeoutMs is what is left until the caller's deadline when the frame
	// was sent. Durations cross hosts, never points in time: clocks differ.
	TimeoutMs int64 `cbor:"10,keyasint,omitempty"`
	// NonIdempotent requests run at most once; Key names the request over resends.
	NonIdempotent bool   `cbor:"11,keyasint,omitempty"`
	Key           string `cbor:"12,keyasint,omitempty"`
	// KeyIssuedMs is when the client first used Key (milliseconds since 1970), 0 if not said.
	KeyIssuedMs int64 `cbor:"13,keyasint,omitempty"`
	// Credit is how many bytes of Data the side may send before more Credit.
	Credit int `cbor:"14,keyasint,omitempty"`
	// ResumeFrom is the number of tokens that the caller already has; the
	// side sends those after it.
	ResumeFrom int `cbor:"15,keyasint,omitempty"`
	// Attempt counts from 0 over retries of the same request.
	Attempt int `cbor:"16,keyasint,omitempty"`
	// PriorText is the text generated up to ResumeFrom on an earlier target, for engines
	// that resume from text.
	PriorText string `cbor:"17,keyasint,omitempty"`
}

// Generate is what routing and admission need to know of a model request.
type Generate struct {
	Model        ModelID `cbor:"1,keyasint"`
	MaxTokens    int     `cbor:"2,keyasint"`
	PromptTokens int     `cbor:"3,keyasint"` // estimate, 4 bytes a token
	Chat         bool    `cbor:"4,keyasint,omitempty"`
	Stream       bool    `cbor:"5,keyasint,omitempty"`
	// Prefixes are hashes of the prompt's growing prefixes, one per 256 bytes,
	// for prefix affinity.
	Prefixes []uint64 `cbor:"6,keyasint,omitempty"`
}

// Cancel asks the side to stop a stream.
type Cancel struct{}

// Credit lets the side send that many more bytes of Data on the stream.
type Credit struct {
	Bytes int `cbor:"1,keyasint"`
}

// Head starts an answer.
type Head struct {
	Status  int      `cbor:"1,keyasint"`
	Headers []Header `cbor:"2,keyasint,omitempty"`
	Target  TargetID `cbor:"3,keyasint,omitempty"`
}

// Data is a part of an answer. Parts are numbered, so that a doubled, late or
// reordered part is noticed: for engines Seq is the token's position from 0,
// for plain services the part's number from 0.
type Data struct {
	Seq     int    `cbor:"1,keyasint,omitempty"`
	Payload []byte `cbor:"2,keyasint"`
}

// End closes a stream. Err is nil when the answer is whole.
type End struct {
	Err *errs.Error `cbor:"1,keyasint,omitempty"`
	// Parts is the number of the next Data that would have come: the receiver checks that it
	// has them all.
	Parts int  `cbor:"2,keyasint,omitempty"`
	Load  Load `cbor:"3,keyasint,omitempty"` // fresh load, for choosing the next target
	// Replayed says that the answer is that of an earlier request with the same key.
	Replayed bool `cbor:"4,keyasint,omitempty"`
}

// Load is what a side knows of its target now. Sides send it on change, at
// most every LoadInterval, and with each End.
type Load struct {
	Target TargetID `cbor:"1,keyasint,omitempty"`
	// OnlineInFlight and BatchInFlight count what the target has been given.
	OnlineInFlight int `cbor:"2,keyasint,omitempty"`
	BatchInFlight  int `cbor:"3,keyasint,omitempty"`
	// OnlineQueued counts online requests that wait at the side.
	OnlineQueued int `cbor:"4,keyasint,omitempty"`
	// Limit is the concurrency limit that the side has found for the target.
	Limit int `cbor:"5,keyasint,omitempty"`
	// FirstTokenUs is a moving estimate of the time to the first token or
	// byte of an online request that arrives now, in microseconds.
	FirstTokenUs int64 `cbor:"6,keyasint,omitempty"`
	// Draining says that the target takes nothing new.
	Draining bool `cbor:"7,keyasint,omitempty"`
	// Models are those loaded now.
	Models []ModelID `cbor:"8,keyasint,omitempty"`
	// Prefixes are hashes of prompt prefixes that were seen lately (a hint).
	Prefixes []uint64 `cbor:"9,keyasint,omitempty"`
	// Unhealthy says that the target accepts and does not answer, or fails.
	Unhealthy bool `cbor:"10,keyasint,omitempty"`
	// Loaded are the models with the versions and adapters that the side's
	// orders have loaded, as far as it knows.
	Loaded []Loaded `cbor:"11,keyasint,omitempty"`
}

// ConfigMsg carries configuration records to a side or another follower, in
// log order: either a snapshot (From 0) or the records after From.
type ConfigMsg struct {
	From     Version    `cbor:"1,keyasint,omitempty"`
	To       Version    `cbor:"2,keyasint,omitempty"`
	Snapshot []byte     `cbor:"3,keyasint,omitempty"`
	Records  []LogEntry `cbor:"4,keyasint,omitempty"`
	Ask      bool       `cbor:"5,keyasint,omitempty"` // the sender has From and wants what follows
	// Stale says that the sender can't reach the log by any way just now: what it
	// holds may be old.
	Stale bool `cbor:"6,keyasint,omitempty"`
	// AgeMs is how long ago the sender's configuration was known to be the
	// newest, and HeldMs how long it held the question, in milliseconds.
	AgeMs  int64 `cbor:"7,keyasint,omitempty"`
	HeldMs int64 `cbor:"8,keyasint,omitempty"`
}

// LogEntry is one record of a stream with its offset.
type LogEntry struct {
	Offset Offset `cbor:"1,keyasint"`
	Body   []byte `cbor:"2,keyasint"`
}
