// Package confstate is the configuration of the system: the deterministic fold
// of the configuration stream. A State is immutable; a newer one replaces it
// whole. State.Version is the offset of the last record folded.
package confstate

import (
	"arbutusramp/core/structs"
)

// Source gives the newest State that a process holds. It never returns nil and
// never a lower version than before.
type Source interface {
	Current() *State
}

// State is the configuration at one version. Treat it and all it points to as read-only.
type State struct {
	Version    structs.Version                   `cbor:"1,keyasint" json:"version"`
	Workspaces map[structs.WorkspaceID]Workspace `cbor:"2,keyasint,omitempty" json:"workspaces,omitempty"`
	Models     map[structs.ModelID]Model         `cbor:"3,keyasint,omitempty" json:"models,omitempty"`
	Targets    map[structs.TargetID]Target       `cbor:"4,keyasint,omitempty" json:"targets,omitempty"`
	Services   map[structs.ServiceID]Service     `cbor:"5,keyasint,omitempty" json:"services,omitempty"`
	Grants     map[structs.WorkspaceID]Grant     `cbor:"6,keyasint,omitempty" json:"grants,omitempty"`
	Hosts      map[structs.HostID]HostIntent     `cbor:"7,keyasint,omitempty" json:"hosts,omitempty"`
	Jobs       map[structs.JobID]JobIntent       `cbor:"8,keyasint,omitempty" json:"jobs,omitempty"`
	Policy     Policy                            `cbor:"9,keyasint" json:"policy"`
	Touched    map[string]structs.Version        `cbor:"10,keyasint,omitempty" json:"-"` // object -> version that last changed it, for conflicts
	// Outcomes are those of the latest confirms by plan id, so that a resent
	// confirm gets the outcome of the first. At most MaxOutcomes are kept.
	Outcomes map[string]Outcome `cbor:"11,keyasint,omitempty" json:"-"`
	// Forgot is the version up to which outcomes are no longer kept: a plan
	// made from an older version is refused, since it may be a resend.
	Forgot structs.Version `cbor:"12,keyasint,omitempty" json:"-"`
	// Unreadable counts records that could not be decoded; they change nothing.
	Unreadable int `cbor:"13,keyasint,omitempty" json:"unreadable,omitempty"`
}

// Workspace is one workspace with its keys and limits.
type Workspace struct {
	ID structs.WorkspaceID `cbor:"1,keyasint" json:"id"`
	// KeyHashes are SHA-256 sums of the API keys that are valid now (hex).
	KeyHashes []string `cbor:"2,keyasint,omitempty" json:"key_hashes,omitempty"`
	// RequestsPerS and Burst limit online requests; 0 is no limit.
	RequestsPerS float64 `cbor:"3,keyasint,omitempty" json:"requests_per_s,omitempty"`
	Burst        int     `cbor:"4,keyasint,omitempty" json:"burst,omitempty"`
	// MaxInFlight limits online requests in flight per entry; 0 is no limit.
	MaxInFlight int `cbor:"5,keyasint,omitempty" json:"max_in_flight,omitempty"`
	// Weight is the workspace's share when there is not enough for all; 0 counts as 1.
	Weight int `cbor:"6,keyasint,omitempty" json:"weight,omitempty"`
	// RevokedHashes are sums of keys that were valid once, so that an old key gets its own refusal.
	RevokedHashes []string `cbor:"7,keyasint,omitempty" json:"revoked_hashes,omitempty"`
}

// Model is one model to serve.
type Model struct {
	ID       structs.ModelID `cbor:"1,keyasint" json:"id"`
	Version  string          `cbor:"2,keyasint,omitempty" json:"version,omitempty"`
	Adapters []string        `cbor:"3,keyasint,omitempty" json:"adapters,omitempty"`
	Replicas int             `cbor:"4,keyasint,omitempty" json:"replicas,omitempty"`
	// SpreadDomains is over how many failure domains the replicas stand at least.
	SpreadDomains int  `cbor:"5,keyasint,omitempty" json:"spread_domains,omitempty"`
	Retired       bool `cbor:"6,keyasint,omitempty" json:"retired,omitempty"`
}

// Target is one registered target.
type Target struct {
	ID      structs.TargetID   `cbor:"1,keyasint" json:"id"`
	Kind    structs.TargetKind `cbor:"2,keyasint" json:"kind"`
	Host    structs.HostID     `cbor:"3,keyasint" json:"host"` // the side beside it
	Service structs.ServiceID  `cbor:"4,keyasint,omitempty" json:"service,omitempty"`
	// ChecksFence says that the target refuses orders with an old fencing number.
	ChecksFence bool `cbor:"5,keyasint,omitempty" json:"checks_fence,omitempty"`
	// RemovedAt is the version that removed the target; it stays known for the time
	// that keys of non-idempotent requests are remembered.
	RemovedAt structs.Version `cbor:"6,keyasint,omitempty" json:"removed_at,omitempty"`
	RemovedMs int64           `cbor:"7,keyasint,omitempty" json:"removed_ms,omitempty"`
	AddedMs   int64           `cbor:"8,keyasint,omitempty" json:"added_ms,omitempty"`
}

// Service is one plain service.
type Service struct {
	ID structs.ServiceID `cbor:"1,keyasint" json:"id"`
	// NonIdempotent methods run at most once a request (for example POST).
	NonIdempotent []string `cbor:"2,keyasint,omitempty" json:"non_idempotent,omitempty"`
	// TimeoutMs bounds one call; 0 is the entry's default.
	TimeoutMs int64 `cbor:"3,keyasint,omitempty" json:"timeout_ms,omitempty"`
}

// Grant lets a workspace's callers start jobs without a confirm of their own.
type Grant struct {
	Workspace structs.WorkspaceID `cbor:"1,keyasint" json:"workspace"`
	// MaxItems bounds one job.
	MaxItems int               `cbor:"2,keyasint,omitempty" json:"max_items,omitempty"`
	Models   []structs.ModelID `cbor:"3,keyasint,omitempty" json:"models,omitempty"`
	// DueWithinS is the longest time to a due time that the grant covers, in seconds; 0 is any.
	DueWithinS int64 `cbor:"4,keyasint,omitempty" json:"due_within_s,omitempty"`
}

// HostIntent is what an operator wants of one host.
type HostIntent struct {
	ID     structs.HostID `cbor:"1,keyasint" json:"id"`
	Retire bool           `cbor:"2,keyasint,omitempty" json:"retire,omitempty"`
	// At is the version that retired it.
	At structs.Version `cbor:"3,keyasint,omitempty" json:"at,omitempty"`
}

// JobIntent is an operator's decision on one job.
type JobIntent struct {
	ID     structs.JobID `cbor:"1,keyasint" json:"id"`
	Run    bool          `cbor:"2,keyasint,omitempty" json:"run,omitempty"`
	Cancel bool          `cbor:"3,keyasint,omitempty" json:"cancel,omitempty"`
	// At is the version that decided last.
	At structs.Version `cbor:"4,keyasint,omitempty" json:"at,omitempty"`
}

// Policy is the one setting between least harm to online requests and most batch throughput.
type Policy struct {
	// Headroom runs from 0 (most batch throughput) to 1 (least harm to the online tail).
	Headroom float64 `cbor:"1,keyasint" json:"headroom"`
}
