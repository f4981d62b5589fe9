// Package settings reads and checks the INI settings of both binaries. Bad
// settings never start a process.
package settings

import (
	"time"

	"arbutusramp/core/structs"
)

// Identity is the [host] section: who this process is.
type Identity struct {
	ID     structs.HostID
	Domain structs.FailureDomain
	Region structs.Region
	// MemoryMB is the memory of the host that the process may use, in MB (10^6 bytes); 0 if the settings do not say.
	MemoryMB int
	// Descriptors is how many descriptors the process may have open; 0 if the settings do not say.
	Descriptors int
}

// Logs is the [log] section.
type Logs struct {
	Level string // trace, debug, info, warn, error
	JSON  bool
}

// Platform is the [platform] section: the base URLs of the platform's services.
type Platform struct {
	LogURL      string
	HostListURL string
	WeightsURL  string
	// WeightsBytesPerS is the weight store's rate for all loads together; 0 is not known.
	WeightsBytesPerS int
}

// Entry is the settings of one entry process.
type Entry struct {
	Host     Identity
	Logs     Logs
	Platform Platform

	// Listeners, each IP:port; port 0 takes a free one.
	CallerAddr string // [listen] callers
	AdminAddr  string // [listen] admin
	PeerAddr   string // [listen] peers: other entries and followers
	StatusAddr string // [listen] status: /healthz /readyz /metrics

	// TLS files for the caller and admin listeners; empty serves plain HTTP.
	CallerCert, CallerKey string
	AdminCert, AdminKey   string

	// OperatorKeys maps an operator's name to the SHA-256 sum of its key (hex).
	OperatorKeys map[string]string
	// RevokedOperatorKeys are those that were valid once, so that an old key
	// gets its own refusal.
	RevokedOperatorKeys map[string]string
	// PeerKeys are the keys between the system's own processes; the first is used for new sessions.
	PeerKeys []PeerKey
	// RetiredPeerKeys are IDs of peer keys that were valid once.
	RetiredPeerKeys []string

	// RoutePolicy names the policy of core/choose for online requests.
	RoutePolicy string

	MaxBody        int           // bytes of one online request's body
	DefaultTimeout time.Duration // for requests that name no deadline
	DrainTimeout   time.Duration // how long a planned stop waits for requests in flight
	HostListEvery  time.Duration // how often the host list is read
	SessionWindow  int           // bytes of credit a stream starts with
	RetryShare     float64       // retries as a share of first tries, 0..1
	MaxSides       int           // sides this entry keeps sessions with at most; 0 is all
	KeyWindow      time.Duration // how long sides remember keys of non-idempotent requests; 0 is their default

	Shards       int           // job shards in the whole system; the same everywhere
	CommitEvery  time.Duration // group commit interval of a shard's owner
	ResultsFor   time.Duration // how long results stay readable after a job's end
	LogRetention time.Duration // how long the log service keeps records
	ItemAttempts int           // attempts before an item ends as an error
	ItemTimeout  time.Duration // one attempt
	MaxHeldBytes int           // outcomes held while the log service is down, bytes
}

// Side is the settings of one side process.
type Side struct {
	Host     Identity
	Logs     Logs
	Platform Platform

	SessionAddr string // [listen] sessions
	StatusAddr  string // [listen] status

	PeerKeys []PeerKey
	// RetiredPeerKeys are IDs of peer keys that were valid once.
	RetiredPeerKeys []string

	Target       structs.TargetInfo
	TargetURL    string        // base URL of the target, by IP number
	TargetBudget time.Duration // a target that gives no byte for so long is counted as hanging
	LoadEvery    time.Duration // how often load is sent to entries at most
	DrainTimeout time.Duration
	MaxLimit     int           // upper bound of the concurrency limit
	MaxQueue     int           // online requests that may wait
	KeyWindow    time.Duration // how long keys of non-idempotent requests are remembered
	Headroom     float64       // policy until configuration says otherwise, 0..1
}

// PeerKey is one key between own processes.
type PeerKey struct {
	ID     string
	Secret []byte
}
