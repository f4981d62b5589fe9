package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"arbutusramp/core/policy"
	"arbutusramp/core/quarantine"
)

// Gateway is the settings of one gateway process.
type Gateway struct {
	Host Identity
	Logs Logs

	CallerAddr  string // [listen] callers
	ReadyAddr   string // [listen] ready: the balancer's question whether to send callers here
	PeerAddr    string // [listen] peers: datagrams of other gateways
	MetricsAddr string // [listen] metrics

	CPUShare float64 // of each of Cores that the process may use, 0 to 1
	Cores    int

	StoreAddr string          // IP:port of the platform's store
	Shards    int             // partitions of a topic of the store, which are the shards of the backlog
	MinTTL    time.Duration   // shortest lease that the store grants a member of a group
	Keep      time.Duration   // how long a job stays readable after it was handed in
	Off       policy.Disabled // mechanisms of deciding that are switched off
	// RevokeWithin bounds how long after its revocation a key may still be used, 0 not at all.
	RevokeWithin time.Duration
	QuotaWindow  time.Duration // over which an excess of a quota is tolerated
	QuotaExcess  float64       // tolerated excess, as a share of the quota
	QuotaSlack   int           // tolerated excess in addition, in requests
	// QuarantineAfter is how many targets may crash under requests with the same content before no target gets one any more.
	QuarantineAfter int
	// QuarantineHold is how long that lasts after the last of these requests.
	QuarantineHold time.Duration
	// TargetLinger is how long targets may still be used after their entry has gone from the list.
	TargetLinger time.Duration
	Grace        time.Duration // from the signal to stop until the platform kills the process
	// Contracts are the names of the parts of the platform's contract that are in force.
	Contracts []string
	// ExpectedTime says for which services targets are chosen by expected time: auto, on or off.
	ExpectedTime string
	// YieldsInOverload is set if starts of batch items are suspended in an overload of their service.
	YieldsInOverload bool
	// IsSharing is set if the capacity is divided between workspaces while there is too little.
	IsSharing     bool
	SharingWindow time.Duration // over which the work of workspaces is measured
	// SharingWeights are the weights of workspaces by name; 1 for others.
	SharingWeights map[string]float64
}

// LoadGateway reads the settings of a gateway process. Errors as for LoadEntry.
func LoadGateway(path string) (Gateway, error) { return load(gatewayTable(), path) }

func gatewayTable() table[Gateway] {
	rows := hostRows("gateway", func(g *Gateway) *Identity { return &g.Host })
	rows = append(rows, logRows(func(g *Gateway) *Logs { return &g.Logs })...)
	rows = append(rows, gatewayCapacityRows()...)
	rows = append(rows, gatewayListenRows()...)
	rows = append(rows, gatewayStoreRows()...)
	rows = append(rows, gatewayWorkspaceRows()...)
	rows = append(rows, gatewayQuarantineRows()...)
	rows = append(rows, gatewaySchedulingRows()...)
	return table[Gateway]{role: "gateway", rows: rows, check: checkGateway}
}

// minRevokeWithin is the shortest bound on revocations: a proof of the configuration is half a second old in calm times.
const minRevokeWithin = 2 * time.Second

func checkGateway(g *Gateway) []Fault {
	if g.RevokeWithin == 0 || g.RevokeWithin >= minRevokeWithin {
		return nil
	}
	return []Fault{{
		Section: "keys", Key: "revoke_within", Problem: g.RevokeWithin.String() + " is too short to be kept",
		Allowed: "0s or " + minRevokeWithin.String() + " and more",
	}}
}

func gatewayCapacityRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "host", key: "cpu_share", unit: "share", def: "1",
			field: ratio(func(g *Gateway) *float64 { return &g.CPUShare }),
			doc:   "share of each of the host's cores that the process may use; gateways with more processor time do more for the others"},
		{section: "host", key: "cores", unit: "number", def: "1",
			field: integer(1, 1024, func(g *Gateway) *int { return &g.Cores }),
			doc:   "cores of the host"},
	}
}

func gatewayListenRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "listen", key: "callers", unit: "address", required: true,
			field: addr(func(g *Gateway) *string { return &g.CallerAddr }),
			doc:   "callers' requests and batch jobs"},
		{section: "listen", key: "ready", unit: "address", required: true,
			field: addr(func(g *Gateway) *string { return &g.ReadyAddr }),
			doc:   "the balancer's question whether to send callers here"},
		{section: "listen", key: "peers", unit: "address", required: true,
			field: ownAddr(func(g *Gateway) *string { return &g.PeerAddr }),
			doc:   "datagrams in which gateways tell each other their loads, and TCP for calls of the store that a gateway passes on for others"},
		{section: "listen", key: "metrics", unit: "address", required: true,
			field: addr(func(g *Gateway) *string { return &g.MetricsAddr }),
			doc:   "metrics as text at /metrics"},
	}
}

func gatewayStoreRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "store", key: "address", unit: "address", required: true,
			field: addr(func(g *Gateway) *string { return &g.StoreAddr }),
			doc:   "the platform's store"},
		{section: "store", key: "partitions", unit: "number", required: true,
			field: integer(1, 1024, func(g *Gateway) *int { return &g.Shards }),
			doc:   "partitions of a topic of the store: the batch jobs are dealt out in as many shards"},
		{section: "store", key: "shortest_lease", unit: "duration", def: "1s",
			field: duration(100*time.Millisecond, time.Minute, func(g *Gateway) *time.Duration { return &g.MinTTL }),
			doc:   "shortest lease that the store grants a member of a group"},
		{section: "backlog", key: "keep", unit: "duration", def: "2m",
			field: duration(time.Second, 30*day, func(g *Gateway) *time.Duration { return &g.Keep }),
			doc:   "how long a batch job stays readable after it was handed in, at the least; while it has unfinished items it stays longer"},
		{section: "policies", key: "off", unit: "names", def: "",
			field: policies(func(g *Gateway) *policy.Disabled { return &g.Off }),
			doc:   "mechanisms of deciding that are switched off, to measure what they are worth; none in production"},
		{section: "stop", key: "grace", unit: "duration", def: "8s",
			field: duration(time.Second, time.Hour, func(g *Gateway) *time.Duration { return &g.Grace }),
			doc:   "from the signal to stop until the process is killed"},
	}
}

func gatewayWorkspaceRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "keys", key: "revoke_within", unit: "duration", def: "0s",
			field: duration(0, time.Hour, func(g *Gateway) *time.Duration { return &g.RevokeWithin }),
			doc:   "how long after a key was revoked a request may still run by it, also at a process that has lost the store; 0 is no bound"},
		{section: "quota", key: "window", unit: "duration", def: "5s",
			field: duration(100*time.Millisecond, time.Hour, func(g *Gateway) *time.Duration { return &g.QuotaWindow }),
			doc:   "time over which requests of a workspace beyond its quota are tolerated"},
		{section: "quota", key: "excess", unit: "share", def: "0.1",
			field: ratio(func(g *Gateway) *float64 { return &g.QuotaExcess }),
			doc:   "requests beyond the quota that are tolerated in a window, as a share of what the quota allows in it"},
		{section: "quota", key: "slack", unit: "requests", def: "20",
			field: integer(0, 1_000_000, func(g *Gateway) *int { return &g.QuotaSlack }),
			doc:   "requests beyond the quota that are tolerated in a window in addition"},
	}
}

func gatewayQuarantineRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "quarantine", key: "after", unit: "targets", def: strconv.Itoa(quarantine.DefaultThreshold),
			field: integer(1, quarantine.MaxCrashes, func(g *Gateway) *int { return &g.QuarantineAfter }),
			doc:   "how many targets may crash under requests with the same content before no target gets one any more"},
		{section: "quarantine", key: "hold", unit: "duration", def: "1h",
			field: duration(time.Minute, 30*24*time.Hour, func(g *Gateway) *time.Duration { return &g.QuarantineHold }),
			doc:   "how long after the last of these requests that lasts"},
		{section: "streams", key: "target_linger", unit: "duration", def: "5s",
			field: duration(0, time.Hour, func(g *Gateway) *time.Duration { return &g.TargetLinger }),
			doc:   "how long targets may still be used after their entry has gone from the list; a service must have had one software version only for this and two timeouts of the route until a resumed stream of unknown origin goes on there"},
	}
}

func gatewaySchedulingRows() []row[Gateway] {
	return []row[Gateway]{
		{section: "platform", key: "contracts", unit: "names", def: "",
			field: names(func(g *Gateway) *[]string { return &g.Contracts }),
			doc:   "parts of the platform's contract that are in force; some switch mechanisms on, unknown ones are ignored"},
		{section: "scheduling", key: "expected_time", unit: "word", def: "off",
			field: word(func(g *Gateway) *string { return &g.ExpectedTime }, "auto", "on", "off"),
			doc:   "for which services targets are chosen by the expected time of the answer: all, none, or with auto those of which a target reports its pace"},
		{section: "scheduling", key: "yield_in_overload", unit: "boolean", def: "false",
			field: boolean(func(g *Gateway) *bool { return &g.YieldsInOverload }),
			doc:   "whether starts of batch items are suspended while online requests of their service are rejected or queued"},
		{section: "sharing", key: "workspaces", unit: "boolean", def: "false",
			field: boolean(func(g *Gateway) *bool { return &g.IsSharing }),
			doc:   "whether the capacity is divided between workspaces while there is too little"},
		{section: "sharing", key: "window", unit: "duration", def: "2s",
			field: duration(500*time.Millisecond, 30*time.Second, func(g *Gateway) *time.Duration { return &g.SharingWindow }),
			doc:   "time over which the work of workspaces is measured"},
		{section: "sharing", key: "weights", unit: "names with weights", def: "",
			field: weights(func(g *Gateway) *map[string]float64 { return &g.SharingWeights }),
			doc:   "weights of workspaces in the division of the capacity; 1 for those that are not listed"},
	}
}

// minWeight and maxWeight bound the weight of a workspace.
const (
	minWeight = 0.01
	maxWeight = 100
)

// weights reads names with weights, as in a:2,b:0.5.
func weights[T any](get func(*T) *map[string]float64) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: fmt.Sprintf("name:weight separated by commas, each weight %v to %v", minWeight, maxWeight),
		set: func(t *T, value string) error {
			list := make(map[string]float64)
			for part := range strings.SplitSeq(value, ",") {
				name, text, hasWeight := strings.Cut(strings.TrimSpace(part), ":")
				if !hasWeight || name == "" {
					return bad("%q is not a name with a weight", part)
				}
				weight, err := strconv.ParseFloat(text, 64)
				if err != nil {
					return bad("the weight %q of %s is not a number", text, name)
				}
				if !(weight >= minWeight && weight <= maxWeight) { // false for NaN as well
					return bad("the weight %v of %s is out of range", weight, name)
				}
				if _, ok := list[name]; ok {
					return bad("%s has two weights", name)
				}
				list[name] = weight
			}
			*get(t) = list
			return nil
		},
	}
}

// policies reads names of mechanisms separated by commas.
func policies[T any](get func(*T) *policy.Disabled) field[T] {
	return field[T]{
		value:   func(t *T) any { return *get(t) },
		allowed: policy.JoinedNames(),
		set: func(t *T, value string) error {
			var names []string
			for part := range strings.SplitSeq(value, ",") {
				names = append(names, strings.TrimSpace(part))
			}
			off, err := policy.Parse(names)
			if err != nil {
				return err
			}
			*get(t) = off
			return nil
		},
	}
}
