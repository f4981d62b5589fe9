// Package quarantine decides which requests are no longer sent to any target because targets have crashed
// while running them. Without it, retries by the caller, by other gateways or by the backlog send such a
// request to one target after another until none is left. The package does no I/O.
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

// Fingerprint identifies the content of a request: its workspace, method, host, path and body. Repeats of a
// request share these; their ids differ and their headers may.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of r. The hash is collision-resistant: otherwise a caller could craft
// a request with the fingerprint of another one and have that one quarantined.
func FingerprintOf(r *serving.Request) Fingerprint {
	return hashParts(r.Body, r.Caller.Workspace, r.Method, r.Host, r.URI)
}

// hashParts hashes length-prefixed parts and a body.
func hashParts(body []byte, parts ...string) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a write to a hash never returns an error
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
	// route is the name of the request's route, job the id of its batch job; each is empty if there is none.
	route, job string

	subjectOnce sync.Once
	subject     Subject

	digestOnce sync.Once
	digest     uint64
}

// NewContent returns the content of r. The caller must not change r afterwards.
func NewContent(r *serving.Request) *Content { return &Content{Request: r} }

// In sets the name of the request's route and the id of its batch job, which is empty if it has none. It
// returns c and must be called before c is shared.
func (c *Content) In(route, job string) *Content {
	c.route, c.job = route, job
	return c
}

// Fingerprint returns the fingerprint of the content.
func (c *Content) Fingerprint() Fingerprint { return c.Subject().Content }

// Digest returns a hash of the content that is much cheaper than its fingerprint but not collision-resistant:
// a caller can craft two contents with the same digest. It is computed once, on the first call.
func (c *Content) Digest() uint64 {
	c.digestOnce.Do(func() { c.digest = digestOf(c.Request) })
	return c.digest
}

func digestOf(r *serving.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{r.Caller.Workspace, r.Method, r.Host, r.URI} {
		_, _ = d.WriteString(part) // a write to a hash never returns an error
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// Kinds of scopes, the first part of a scope's fingerprint. None is a valid workspace, which is the first
// part of a content's fingerprint.
const (
	resourceScope = "\x00resource"
	jobScope      = "\x00job"
	routeScope    = "\x00route"
)

// Subject returns the fingerprints of the request's content and of its scopes: its resource, its job and its
// route, each within its workspace. They are computed once, on the first call.
func (c *Content) Subject() Subject {
	c.subjectOnce.Do(func() {
		r := c.Request
		workspace := r.Caller.Workspace
		c.subject.Content = FingerprintOf(r)
		c.subject.Scopes = append(c.subject.Scopes, hashParts(nil, resourceScope, workspace, r.Method, r.Host, r.URI))
		if c.job != "" {
			c.subject.Scopes = append(c.subject.Scopes, hashParts(nil, jobScope, workspace, c.job))
		}
		c.subject.Narrow = len(c.subject.Scopes)
		if c.route != "" {
			c.subject.Scopes = append(c.subject.Scopes, hashParts(nil, routeScope, workspace, c.route))
		}
	})
	return c.subject
}

// IsRelated reports whether two requests have the same resource or the same job.
func (c *Content) IsRelated(o *Content) bool {
	a, b := c.Subject(), o.Subject()
	return slices.ContainsFunc(a.Scopes[:a.Narrow], func(f Fingerprint) bool { return slices.Contains(b.Scopes[:b.Narrow], f) })
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
