package serving

import (
	"net/http"
	"time"

	"arbutusramp/core/workspace"
)

// Caller is the sender of a request, as identified by its API key.
type Caller struct {
	// Workspace is the workspace's name; empty if the caller sent no key.
	Workspace string
	// Rank is the workspace's rank, which takes precedence over the route's; nil if it has none.
	Rank *int
	// IsUnidentified reports that keys are required and that the caller sent none.
	IsUnidentified bool
}

// RankOn is the rank of the caller's requests on a route; 0 is the most urgent.
func (c Caller) RankOn(r *Route) int {
	if c.Rank != nil {
		return *c.Rank
	}
	return r.Rank
}

// Request is one request of a caller, with its whole body.
type Request struct {
	ID     string
	Host   string
	Method string
	URI    string // path with query, as in the request line
	Header http.Header
	Body   []byte
	// Arrived is when its header had been read.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it did not set one.
	Deadline time.Time
	// Credential is what the caller sent to identify its workspace. Header contains neither the credential
	// nor the name of a workspace.
	Credential workspace.Credential
	// Caller is the sender of the request.
	Caller Caller
	// ResumeAfter is the id of the last event that the caller has received; empty to start from the
	// beginning.
	ResumeAfter string
}
