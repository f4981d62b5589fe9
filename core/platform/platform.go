// Package platform holds the interfaces at which arbutusramp meets the outside:
// the log service, the host list, the weight store, model engines and plain
// services. Adapters for one protocol each live in internal/adapter; another
// protocol for the same service replaces one adapter and nothing else.
package platform

import (
	"context"
	"time"

	"arbutusramp/core/structs"
)

// Log is the append-only log service of the platform.
type Log interface {
	// Append adds body to the end of stream and returns its offset. Errors:
	// errs.LogDown (nothing was appended), errs.LogBusy (over the service's
	// rate, nothing was appended), errs.AppendUnknown (the answer was lost; it may be in).
	Append(ctx context.Context, stream string, body []byte) (structs.Offset, error)
	// Read returns up to max entries from offset from on. With none there yet it
	// waits up to wait. Errors: errs.LogDown, errs.LogTrimmed (from is
	// older than what is kept; Page.First says what is).
	Read(ctx context.Context, stream string, from structs.Offset, max int, wait time.Duration) (Page, error)
}

// Page is a run of entries of one stream.
type Page struct {
	First   structs.Offset // the oldest that is kept
	Next    structs.Offset // the offset that the next append gets
	Entries []structs.LogEntry
}

// HostState is what the host list says of a host.
type HostState string

const (
	// HostLive hosts take work.
	HostLive HostState = "live"
	// HostLeaving hosts finish what they have.
	HostLeaving HostState = "leaving"
)

// Role tells entries from sides in the host list.
type Role string

const (
	// RoleEntry is an entry host.
	RoleEntry Role = "entry"
	// RoleSide is a host with a target and its side.
	RoleSide Role = "side"
)

// Host is one line of the host list.
type Host struct {
	ID     structs.HostID        `json:"id"`
	Role   Role                  `json:"role"`
	Addr   string                `json:"addr"` // IP:port of the process's session listener
	Domain structs.FailureDomain `json:"domain"`
	Region structs.Region        `json:"region,omitempty"`
	State  HostState             `json:"state"`
}

// HostList is the platform's list of hosts. It lags.
type HostList interface {
	// Hosts returns the list as the platform knows it. Error: errs.NoTarget when it can't be read.
	Hosts(ctx context.Context) ([]Host, error)
}

// EngineLoad is a model engine's own report. It lags.
type EngineLoad struct {
	Running   int               `json:"running"`
	Waiting   int               `json:"waiting"`
	CacheUsed float64           `json:"cache_used"` // share of the prefix cache's memory, 0..1
	Models    []structs.ModelID `json:"models"`
	// Versions are the versions of the loaded models; adapters stand as MODEL:ADAPTER.
	Versions map[structs.ModelID]string `json:"versions,omitempty"`
	Role     string                     `json:"role,omitempty"`
	// UptimeMs is how long the engine's process has run, in milliseconds. It does not lag. 0 is not known.
	UptimeMs int64 `json:"uptime_ms,omitempty"`
}

// GenerateCall is one request to a model engine.
type GenerateCall struct {
	Request structs.RequestID
	Path    string // /v1/chat/completions or /v1/completions
	Body    []byte // the caller's body, unchanged
	// ResumeFrom is the number of tokens already delivered; the engine continues after them.
	ResumeFrom int
	// PriorText is the text of those tokens.
	PriorText string
}

// Token is one event of an engine's stream.
type Token struct {
	Pos  int    // position from 0
	Data []byte // the event's JSON, in the shape that callers get; only valid during the call
}

// OrderOp is what an order asks an engine to do.
type OrderOp string

const (
	// OpLoad loads a model or version, or an adapter.
	OpLoad OrderOp = "load"
	// OpUnload drops a model, version or adapter.
	OpUnload OrderOp = "unload"
	// OpRole changes the engine's role.
	OpRole OrderOp = "role"
)

// Order is a change asked of an engine.
type Order struct {
	Fence   structs.Epoch   `json:"fence"`
	Op      OrderOp         `json:"op"`
	Model   structs.ModelID `json:"model,omitempty"`
	Version string          `json:"version,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	Role    string          `json:"role,omitempty"`
}

// CacheEvent says that an engine has cached or dropped a prompt prefix.
type CacheEvent struct {
	Seq    uint64 `json:"seq"`
	Prefix uint64 `json:"prefix"` // a hash as from structs.PromptPrefixes
	Added  bool   `json:"added"`
}

// Engine is a model engine.
type Engine interface {
	// Generate runs call and hands each token to sink in order. It returns when
	// the stream has ended. Cancelling ctx cancels the stream at the
	// engine. Errors: errs.TargetRefused (4xx), errs.TargetFailed (with RanNo only when
	// the connection was refused), errs.StreamBroken, errs.Cancelled, errs.TargetTimeout (ctx's
	// deadline passed), or sink's own.
	Generate(ctx context.Context, call GenerateCall, sink func(Token) error) error
	// Load returns the engine's lagging report.
	Load(ctx context.Context) (EngineLoad, error)
	// Order asks for a change. Error: errs.StaleFence from engines that check.
	Order(ctx context.Context, o Order) error
	// CacheEvents returns events after seq. They come late and with gaps.
	CacheEvents(ctx context.Context, after uint64) ([]CacheEvent, error)
}

// ServiceCall is one call of a plain service.
type ServiceCall struct {
	Request structs.RequestID
	Method  string
	Path    string
	Headers []structs.Header
	Body    []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status  int
	Headers []structs.Header
	Body    []byte
}

// Service is a plain service.
type Service interface {
	// Call runs one call. Errors: errs.TargetFailed (RanNo only when the
	// connection was refused), errs.TargetTimeout, errs.Cancelled.
	Call(ctx context.Context, c ServiceCall) (ServiceAnswer, error)
}

// WeightStore keeps model weights and gives them out at a limited rate.
type WeightStore interface {
	// Size returns a model version's size in bytes. Error: errs.UnknownModel.
	Size(ctx context.Context, m structs.ModelID, version string) (int64, error)
}
