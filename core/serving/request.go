package serving

import (
	"net/http"
	"time"
)

// Request is one request of a caller, read whole.
type Request struct {
	ID     string
	Host   string
	Method string
	URI    string // path with query, as it stands in the request line
	Header http.Header
	Body   []byte
	// Arrived is when its header had been read.
	Arrived time.Time
	// Deadline is when the caller stops waiting; zero when it did not say.
	Deadline time.Time
	// ResumeAfter is the id of the last event that the caller has; empty from the start.
	ResumeAfter string
}
