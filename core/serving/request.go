package serving

import (
	"net/http"
	"strings"
	"time"

	"arbutusramp/core/costmodel"
	"arbutusramp/core/workspace"
)

// Caller is the sender of a request, identified by its API key.
type Caller struct {
	// Workspace is the name of the workspace that the caller's key belongs to; empty without a valid key, or
	// if no keys are required.
	Workspace string
	// Rank is the workspace's rank, which takes precedence over the route's; nil if the workspace has none.
	Rank *int
	// IsUnidentified is set if keys are required and the caller sent none.
	IsUnidentified bool
}

// RankOn is the rank of the caller's requests on r: that of its workspace or else that of r; 0 is the most
// urgent.
func (c Caller) RankOn(r *Route) int {
	if c.Rank != nil {
		return *c.Rank
	}
	return r.Rank
}

// MaxPromptParts is the number of parts of a prompt that are known at most.
const MaxPromptParts = 64

// Prompt is what identifies the prompt of a request. Requests whose prompts begin alike have parts in common; the last
// part belongs to the request alone, or to its session.
type Prompt struct {
	Model string   `cbor:"1,keyasint,omitempty"` // model that the request is for; empty if it was not stated
	Parts []string `cbor:"2,keyasint,omitempty"` // ids of the parts in order, at most MaxPromptParts; empty if they were not stated
}

// String returns the ids of the parts, with commas between them.
func (p Prompt) String() string { return strings.Join(p.Parts, ",") }

// Request is one request of a caller, with its whole body.
type Request struct {
	ID     string
	Host   string
	Method string
	URI    string // path with query, as in the request line
	Header http.Header
	Body   []byte
	// Size is what the caller states of the size of the request.
	Size costmodel.Size
	// Prompt is what the caller states of the prompt.
	Prompt Prompt
	// Arrived is when the header of the request had been read.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero if it did not set one.
	Deadline time.Time
	// Credential is what the caller sent to identify its workspace. Header contains neither the
	// credential nor the name of a workspace.
	Credential workspace.Credential
	// Caller holds the workspace that Credential belongs to; for a batch item, the workspace of its job.
	Caller Caller
	// CallerAddr is the IP address that the request came from, which may be that of a proxy; empty for a batch item.
	CallerAddr string
	// ResumeAfter is the id of the last event of a stream that the caller has received; empty to start the
	// stream from the beginning.
	ResumeAfter string
	// Resumes is the id of the caller's request that brought the first event of the stream that this request
	// resumes; empty if the caller did not name it.
	Resumes string
}
