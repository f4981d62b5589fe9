// Package quarantine decides which requests are sent to no target any more, because targets have crashed under them. Without it a
// request that crashes its target is sent to one target after the other, by its caller's retries, by other gateways or by the
// backlog, until none is left. It does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/serving"
)

// Fingerprint identifies the content of a request. Repeats of a request have other ids and may have other headers, and have the
// workspace, method, host, path and body in common.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of r. Its hash is collision-resistant: a caller that could make a request with the
// fingerprint of another could have that one quarantined.
func FingerprintOf(r *serving.Request) Fingerprint {
	return fingerprint(r.Body, r.Caller.Workspace, r.Method, r.Host, r.URI)
}

// fingerprint hashes parts and a body.
func fingerprint(body []byte, parts ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a hash never fails to write
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Content is what a request and its repeats have in common. It is safe for concurrent use.
type Content struct {
	// Request is the request, or one of its repeats.
	Request *serving.Request
	// route is the name of the request's route, job the id of its batch job; empty for none.
	route, job string

	once    sync.Once
	subject Subject

	digestOnce sync.Once
	digest     uint64
}

// NewContent returns the content of r, which must not change.
func NewContent(r *serving.Request) *Content { return &Content{Request: r} }

// In notes the route of a request, and the batch job if it has one. It returns c.
func (c *Content) In(route, job string) *Content {
	c.route, c.job = route, job
	return c
}

// Fingerprint returns the content's fingerprint.
func (c *Content) Fingerprint() Fingerprint { return c.Subject().Content }

// Digest identifies the content for much less than its fingerprint costs, but not against callers who want two contents to look alike. It
// is worked out once, when it is first asked for.
func (c *Content) Digest() uint64 {
	c.digestOnce.Do(func() { c.digest = digestOf(c.Request) })
	return c.digest
}

func digestOf(r *serving.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Caller.Workspace, r.Method, r.Host, r.URI} {
		_, _ = d.WriteString(part) // a hash never fails to write
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Names of the kinds of scopes in their fingerprints. They are no workspaces, with which those of contents begin.
const (
	resourceScope = "\x00resource"
	jobScope      = "\x00job"
	routeScope    = "\x00route"
)

// Subject returns what the request is known by: its content, its resource, its job and its route, each within its workspace. They are
// worked out once, when they are first asked for.
func (c *Content) Subject() Subject {
	c.once.Do(func() {
		r := c.Request
		workspace := r.Caller.Workspace
		c.subject.Content = FingerprintOf(r)
		c.subject.Scopes = append(c.subject.Scopes, fingerprint(nil, resourceScope, workspace, r.Method, r.Host, r.URI))
		if c.job != "" {
			c.subject.Scopes = append(c.subject.Scopes, fingerprint(nil, jobScope, workspace, c.job))
		}
		c.subject.Narrow = len(c.subject.Scopes)
		if c.route != "" {
			c.subject.Scopes = append(c.subject.Scopes, fingerprint(nil, routeScope, workspace, c.route))
		}
	})
	return c.subject
}

// IsRelated says whether two requests have their resource or their job in common.
func (c *Content) IsRelated(o *Content) bool {
	a, b := c.Subject(), o.Subject()
	return slices.ContainsFunc(a.Scopes[:a.Narrow], func(f Fingerprint) bool { return slices.Contains(b.Scopes[:b.Narrow], f) })
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
