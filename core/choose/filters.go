package choose

import "slices"

// Serves keeps targets that have the model loaded or are the service.
type Serves struct{}

// Drop implements Filter.
func (Serves) Drop(r *Request, c *Candidate) string {
	if r.Service != "" {
		if c.Service != r.Service {
			return "other service"
		}
		return ""
	}
	if !slices.Contains(c.Models, r.Model) {
		return "model not loaded"
	}
	return ""
}

// Staying drops targets that drain or leave.
type Staying struct{}

// Drop implements Filter.
func (Staying) Drop(_ *Request, c *Candidate) string {
	if c.Leaving {
		return "leaving"
	}
	return ""
}

// Healthy drops targets that their side calls unhealthy.
type Healthy struct{}

// Drop implements Filter.
func (Healthy) Drop(_ *Request, c *Candidate) string {
	if c.Unhealthy {
		return "unhealthy by its side"
	}
	return ""
}

// Circuit drops targets that this entry has ejected after recent failures.
type Circuit struct{}

// Drop implements Filter.
func (Circuit) Drop(_ *Request, c *Candidate) string {
	if c.Health == Ejected {
		return "ejected"
	}
	return ""
}

// Untried drops targets that this request already failed on.
type Untried struct{}

// Drop implements Filter.
func (Untried) Drop(r *Request, c *Candidate) string {
	if slices.Contains(r.Tried, c.Target) {
		return "already tried"
	}
	return ""
}
