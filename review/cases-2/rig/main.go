//go:build review

package rig

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRunTime is how long a case may take.
const maxRunTime = 115 * time.Second

// Main runs a case with a record at the path in the first argument, and ends the process with its exit code. A case that
// is interrupted or takes too long ends its processes as well.
func Main(run func(*Record) (int, error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: CASE RECORD")
		os.Exit(ExitNotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(ExitNotRun)
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupts:
		case <-time.After(maxRunTime):
		}
		record.Say("the case was interrupted")
		closeAll()
		os.Exit(ExitNotRun)
	}()
	code, err := run(record)
	if err != nil {
		record.Say("the case could not run: %v", err)
		code = ExitNotRun
	}
	os.Exit(code)
}

// Engines of two sites, by their sheets.
var (
	KelpieEngine  = Engine{Step: 2200 * time.Microsecond, PromptTokensPerMS: 140}
	KairikuEngine = Engine{Step: 3370 * time.Microsecond, PromptTokensPerMS: 61.2}
)

const (
	bytesPerToken       = 2
	maxBodyBytes        = 4 << 20
	batchRetainSeconds  = 60
	batchDueMillis      = 18_000
	batchAttempts       = 3
	batchGoalMillis     = 400
	batchTimeoutMillis  = 15_000
	streamTimeoutMillis = 5_000
	streamGoalMillis    = 300
	streamGapMillis     = 400
	headerTimeoutMillis = 2_000
	idleTimeoutMillis   = 8_000
	maxHeaderBytes      = 16 << 10
)

// BatchRoute returns a route for batch jobs.
func BatchRoute(name, host, prefix, service string, maxQueuedTokens int) map[string]any {
	return map[string]any{
		"name": name, "host": host, names.PrefixField: prefix, "kind": "bulk", "service": service, "priority": 2, "sticky": true,
		"timeout_ms": batchTimeoutMillis, "goal_ms": batchGoalMillis, "due_ms": batchDueMillis, "retain_s": batchRetainSeconds,
		"attempts": batchAttempts, "max_queued": maxQueuedTokens,
	}
}

// StreamRoute returns a route for streams that may not be resumed.
func StreamRoute(name, host, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, names.PrefixField: prefix, "kind": "stream", "service": service, "priority": 0, "sticky": true, "resumable": false,
		"timeout_ms": streamTimeoutMillis, "goal_ms": streamGoalMillis, names.GapField: streamGapMillis, "attempts": 1,
	}
}

// Config returns a configuration with routes to the services that they name.
func Config(version int, routes ...map[string]any) map[string]any {
	var services []map[string]any
	seen := make(map[any]bool)
	for _, route := range routes {
		if name := route["service"]; !seen[name] {
			seen[name] = true
			services = append(services, map[string]any{"name": name})
		}
	}
	limits := map[string]any{"max_header_bytes": maxHeaderBytes, "max_body_bytes": maxBodyBytes, "header_timeout_ms": headerTimeoutMillis, "idle_timeout_ms": idleTimeoutMillis}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": limits}
}

// Items returns the items of a job, whose ids begin with that of the job.
func Items(job, path string, count, promptTokens, outputTokens int) []Item {
	var items []Item
	for i := range count {
		items = append(items, Item{
			ID: fmt.Sprintf("%s-%d", job, i), Path: path, Body: make([]byte, bytesPerToken*promptTokens), Tokens: promptTokens + outputTokens,
			Headers: map[string]string{names.Model: "m", names.TokenCount: fmt.Sprintf("%d,%d", promptTokens, outputTokens)},
		})
	}
	return items
}
