// Package config measures how a change of configuration spreads: real followers over
// loopback sockets, confirms through the administration API, and the stand-in of the
// log service, all in one process. Hosts on a real network are a millisecond or more apart;
// that is not modelled.
package config

import (
	"context"
	"math"
	"time"
)

// Options of a run. Zero fields take the defaults named beside them.
type Options struct {
	Followers int     // entries that follow; 200
	Changes   float64 // confirms a second; 5
	Seed      uint64
	Duration  time.Duration // of the changes; 20 s
	Idle      time.Duration // measured before them without changes; 5 s
	// Domains is the number of failure domains; as many as make 31 entries in one.
	Domains int
	// Workspaces are in the configuration before the run; 1000.
	Workspaces int
	// Restarts is how many followers are replaced by new processes during the run; 0 is 5 in 100, below it none.
	Restarts int
	// LogOutage is how long the log is down in the middle of the run; 0 is not at all.
	LogOutage time.Duration
}

// entriesPerDomain is the target's: 620 nodes in 20 failure domains.
const entriesPerDomain = 31

// inForceLimit is the time within which a change has to be in force everywhere.
const inForceLimit = 4 * time.Second

// targetChangesPerS is the target's 6,900 changes a day.
const targetChangesPerS = 6900.0 / 86400

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	o := Options{}.withDefaults()
	o.Domains = 0 // depend on Followers
	o.Restarts = 0
	return o
}

func (o Options) withDefaults() Options {
	if o.Followers == 0 {
		o.Followers = 200
	}
	if o.Changes == 0 {
		o.Changes = 5
	}
	if o.Duration == 0 {
		o.Duration = 20 * time.Second
	}
	if o.Idle == 0 {
		o.Idle = 5 * time.Second
	}
	if o.Domains == 0 {
		o.Domains = int(math.Ceil(float64(o.Followers) / entriesPerDomain))
	}
	if o.Workspaces == 0 {
		o.Workspaces = 1000
	}
	switch {
	case o.Restarts == 0:
		o.Restarts = o.Followers / 20
	case o.Restarts < 0:
		o.Restarts = 0
	}
	return o
}

// Report is the outcome of a run.
type Report struct {
	Followers   int     `json:"followers"`
	Domains     int     `json:"domains"`
	Workspaces  int     `json:"workspaces"`
	Confirmed   int     `json:"confirmed"`
	Stale       int     `json:"stale"`   // lost to a change that came first
	Refused     int     `json:"refused"` // by LogDown during the outage
	ChangesPerS float64 `json:"changes_per_s"`

	// InForce is the time from sending a confirm until the last process has it, over the changes.
	InForceP50 float64 `json:"in_force_ms_p50"`
	InForceP99 float64 `json:"in_force_ms_p99"`
	InForceMax float64 `json:"in_force_ms_max"`
	// Confirm is the time until the operator's answer.
	ConfirmP99 float64 `json:"confirm_ms_p99"`

	// BytesPerNode are all bytes in and out of a node's sockets for configuration, at
	// the run's rate; WorstNode is the node with the most.
	BytesPerNode float64 `json:"control_bytes_per_node_s"`
	BytesWorst   float64 `json:"control_bytes_worst_node_s"`
	BytesIdle    float64 `json:"control_bytes_per_node_idle_s"`
	// BytesAtTarget is idle plus the bytes of a change times the target's 0.08 changes/s.
	BytesAtTarget      float64 `json:"control_bytes_per_node_at_target_s"`
	BytesWorstAtTarget float64 `json:"control_bytes_worst_node_at_target_s"`
	// CPUShare is the share of a core per node. The process time of the log's stand-in and of
	// the measurement itself is in it, so it is an upper bound.
	CPUShare         float64 `json:"control_cpu_share"`
	CPUShareIdle     float64 `json:"control_cpu_share_idle"`
	CPUShareAtTarget float64 `json:"control_cpu_share_at_target"`
	LogReadsPerS     float64 `json:"log_reads_per_s"`
	// HeapPerNode is this process's heap in use by the number of nodes, the stand-in's log with it.
	HeapPerNode float64 `json:"heap_bytes_per_node"`

	Restarts           int `json:"restarts"`
	VersionRegressions int `json:"version_regressions"`
	// Violations counts broken invariants: processes that differ at one version, answers that
	// the log does not bear out, changes that were not in force in time, new
	// processes that were ready below a confirmed version.
	Violations int      `json:"violations"`
	Details    []string `json:"details,omitempty"`
}

// Run carries out one run.
func Run(ctx context.Context, o Options) (Report, error) {
	b, err := newBench(ctx, o.withDefaults())
	if err != nil {
		return Report{}, err
	}
	defer b.close()
	return b.run(ctx)
}
