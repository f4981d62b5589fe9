package settings

import (
	"fmt"
	"time"

	"arbutusramp/core/choose"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	gib = 1 << 30
	day = 24 * time.Hour
)

// The window of idempotency keys stands in both tables: entries and sides must agree on it.
const (
	defaultKeyWindow = "10m"
	minKeyWindow     = time.Minute
	maxKeyWindow     = 7 * day
)

func entryTable() table[Entry] {
	rows := hostRows("entry", func(e *Entry) *Identity { return &e.Host })
	rows = append(rows, logRows(func(e *Entry) *Logs { return &e.Logs })...)
	rows = append(rows, entryListenRows()...)
	rows = append(rows, entryPlatformRows()...)
	rows = append(rows, onlineRows()...)
	rows = append(rows, routeRows()...)
	rows = append(rows, batchRows()...)
	rows = append(rows, retiredPeerRows(func(e *Entry) *[]string { return &e.RetiredPeerKeys })...)
	return table[Entry]{
		role:   "entry",
		rows:   rows,
		groups: []group[Entry]{operatorGroup(), revokedOperatorGroup(), peerKeyGroup(func(e *Entry) *[]PeerKey { return &e.PeerKeys })},
		check:  checkEntry,
	}
}

func entryListenRows() []row[Entry] {
	return []row[Entry]{
		{section: "listen", key: "callers", unit: "address", required: true,
			field: addr(func(e *Entry) *string { return &e.CallerAddr }),
			doc:   "callers' API"},
		{section: "listen", key: "admin", unit: "address", required: true,
			field: addr(func(e *Entry) *string { return &e.AdminAddr }),
			doc:   "administration API"},
		{section: "listen", key: "peers", unit: "address", required: true,
			field: ownAddr(func(e *Entry) *string { return &e.PeerAddr }),
			doc:   "other entries and followers of the configuration"},
		{section: "listen", key: "status", unit: "address", required: true,
			field: addr(func(e *Entry) *string { return &e.StatusAddr }),
			doc:   "/healthz, /readyz and /metrics"},
		{section: "tls", key: "caller_cert", unit: "path", live: true,
			field: absPath(func(e *Entry) *string { return &e.CallerCert }),
			doc:   "certificate of the callers' listener; without it, plain HTTP"},
		{section: "tls", key: "caller_key", unit: "path", live: true,
			field: absPath(func(e *Entry) *string { return &e.CallerKey }),
			doc:   "private key of caller_cert"},
		{section: "tls", key: "admin_cert", unit: "path", live: true,
			field: absPath(func(e *Entry) *string { return &e.AdminCert }),
			doc:   "certificate of the administration listener; without it, plain HTTP"},
		{section: "tls", key: "admin_key", unit: "path", live: true,
			field: absPath(func(e *Entry) *string { return &e.AdminKey }),
			doc:   "private key of admin_cert"},
	}
}

func entryPlatformRows() []row[Entry] {
	return []row[Entry]{
		{section: "platform", key: "log_url", unit: "URL", required: true,
			field: baseURL(func(e *Entry) *string { return &e.Platform.LogURL }),
			doc:   "log service"},
		{section: "platform", key: "host_list_url", unit: "URL", required: true,
			field: baseURL(func(e *Entry) *string { return &e.Platform.HostListURL }),
			doc:   "host list"},
		{section: "platform", key: "weights_url", unit: "URL",
			field: baseURL(func(e *Entry) *string { return &e.Platform.WeightsURL }),
			doc:   "weight store; without it, plans do not show sizes of weights"},
		{section: "platform", key: "weights_bytes_per_s", unit: "bytes/s", def: "0",
			field: integer(0, 1<<40, func(e *Entry) *int { return &e.Platform.WeightsBytesPerS }),
			doc:   "rate of the weight store for all loads together, for the times that plans show and loads are given; 0 is not known"},
	}
}

func onlineRows() []row[Entry] {
	return []row[Entry]{
		{section: "online", key: "max_body", unit: "bytes", def: "4194304",
			field: integer(kib, 64*mib, func(e *Entry) *int { return &e.MaxBody }),
			doc:   "largest body of one online request; more is refused with body_too_large"},
		{section: "online", key: "default_timeout", unit: "duration", def: "1m",
			field: duration(100*time.Millisecond, time.Hour, func(e *Entry) *time.Duration { return &e.DefaultTimeout }),
			doc:   "deadline of requests that name none"},
		{section: "online", key: "drain_timeout", unit: "duration", def: "5m",
			field: duration(time.Second, time.Hour, func(e *Entry) *time.Duration { return &e.DrainTimeout }),
			doc:   "how long a planned stop waits for requests in flight at most"},
		{section: "online", key: "host_list_every", unit: "duration", def: "1s",
			field: duration(100*time.Millisecond, time.Minute, func(e *Entry) *time.Duration { return &e.HostListEvery }),
			doc:   "how often the host list is read"},
		{section: "online", key: "session_window", unit: "bytes", def: "262144",
			field: integer(4*kib, 16*mib, func(e *Entry) *int { return &e.SessionWindow }),
			doc:   "bytes of an answer that a side may send before the caller has taken any"},
		{section: "online", key: "retry_share", unit: "share", def: "0.1",
			field: ratio(func(e *Entry) *float64 { return &e.RetryShare }),
			doc:   "retries as a share of first tries"},
		{section: "online", key: "max_sides", unit: "sides", def: "0",
			field: integer(0, 10000, func(e *Entry) *int { return &e.MaxSides }),
			doc:   "sides that this entry keeps sessions with at most; 0 is all"},
		{section: "online", key: "key_window", unit: "duration", def: defaultKeyWindow,
			field: duration(minKeyWindow, maxKeyWindow, func(e *Entry) *time.Duration { return &e.KeyWindow }),
			doc:   "how long idempotency keys of non-idempotent requests are remembered; must be the same on every entry and side"},
	}
}

func routeRows() []row[Entry] {
	return []row[Entry]{
		{section: "route", key: "policy", unit: "word", def: choose.DefaultPolicy,
			field: word(func(e *Entry) *string { return &e.RoutePolicy }, choose.Policies()...),
			doc:   "how a target is chosen for an online request; docs/ROUTING.md compares the policies"},
	}
}

func batchRows() []row[Entry] {
	return []row[Entry]{
		{section: "batch", key: "shards", unit: "shards", def: "16",
			field: integer(1, 4096, func(e *Entry) *int { return &e.Shards }),
			doc:   "job shards in the whole system; must be the same on every entry and for the life of the log"},
		{section: "batch", key: "commit_every", unit: "duration", def: "100ms",
			field: duration(5*time.Millisecond, 5*time.Second, func(e *Entry) *time.Duration { return &e.CommitEvery }),
			doc:   "group commit interval of a shard's owner: shorter answers sooner and costs more appends a second"},
		{section: "batch", key: "results_for", unit: "duration", def: "72h",
			field: duration(time.Minute, 90*day, func(e *Entry) *time.Duration { return &e.ResultsFor }),
			doc:   "how long results stay readable after a job's end"},
		{section: "batch", key: "log_retention", unit: "duration", def: "168h",
			field: duration(time.Minute, 365*day, func(e *Entry) *time.Duration { return &e.LogRetention }),
			doc:   "how long the log service keeps records; what must last longer is appended again before"},
		{section: "batch", key: "item_attempts", unit: "attempts", def: "5",
			field: integer(1, 100, func(e *Entry) *int { return &e.ItemAttempts }),
			doc:   "attempts that are charged to an item before it ends as an error"},
		{section: "batch", key: "item_timeout", unit: "duration", def: "10m",
			field: duration(time.Second, 24*time.Hour, func(e *Entry) *time.Duration { return &e.ItemTimeout }),
			doc:   "bound of one attempt"},
		{section: "batch", key: "max_held_bytes", unit: "bytes", def: "67108864",
			field: integer(mib, 4*gib, func(e *Entry) *int { return &e.MaxHeldBytes }),
			doc:   "outcomes held in memory while the log service is down; at the bound no more items are given out"},
	}
}

func checkEntry(e *Entry) []Fault {
	var faults []Fault
	if (e.CallerCert == "") != (e.CallerKey == "") {
		faults = append(faults, pairFault("tls", "caller_cert", "caller_key"))
	}
	if (e.AdminCert == "") != (e.AdminKey == "") {
		faults = append(faults, pairFault("tls", "admin_cert", "admin_key"))
	}
	faults = append(faults, checkOperators(e)...)
	return append(faults, checkPeerKeys(e.PeerKeys, e.RetiredPeerKeys)...)
}

// checkOperators finds keys that are valid and revoked at once. A key that was revoked under one
// operator's name would else go on working under another's.
func checkOperators(e *Entry) []Fault {
	var faults []Fault
	for name, sum := range e.RevokedOperatorKeys {
		for holder, valid := range e.OperatorKeys {
			if sum == valid {
				faults = append(faults, Fault{Section: "revoked_operators", Key: name, Problem: fmt.Sprintf("the same key is valid for operator %q", holder), Allowed: "a key in one of the two"})
			}
		}
	}
	return faults
}

func pairFault(section, a, b string) Fault {
	return Fault{Section: section, Key: a, Problem: "only one of " + a + " and " + b + " is set", Allowed: "both or neither"}
}
