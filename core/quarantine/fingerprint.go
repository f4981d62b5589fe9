// Package quarantine decides which requests must not be sent to any target because several targets have
// crashed while running them. Without it, retries by the caller or by other gateways send
// such a request to one target after another until none is left. Batch items have no part in it: they are never
// suspected, and wait in another way; see core/backlog.CrashWait. The package does no I/O; package internal/quarantine
// detects the crashes, exchanges the records between processes and checks requests before they are sent.
//
// A content is what a request and its repeats have in common; a scope is what several contents share: a part of their
// prompts, similar bodies, the address of their caller, a resource or a route. A record lists the crashes of
// one content or scope. A trial is a request that is sent although its content or one of its scopes is quarantined, to
// find out whether it crashes a target.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/serving"
)

// Fingerprint identifies a content by a hash of the request's workspace, method, host, path and body, or
// identifies a scope. Repeats of a request have the same fingerprint, although their ids and possibly their
// headers differ.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of the content of r. The hash is collision-resistant: otherwise a
// caller could craft a request with the fingerprint of another one and have that one quarantined.
func FingerprintOf(r *serving.Request) Fingerprint {
	return hashParts(r.Body, r.Caller.Workspace, r.Method, r.Host, r.URI)
}

// hashParts returns the first 16 bytes of the SHA-256 hash of the parts and the body. Each part is preceded by
// its length, so that different lists of parts never hash the same bytes.
func hashParts(body []byte, parts ...string) Fingerprint {
	hash := sha256.New()
	var size [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = hash.Write(size[:]) // a write to a hash never returns an error
		_, _ = io.WriteString(hash, part)
	}
	_, _ = hash.Write(body)
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// Content is what a request and its repeats have in common: the workspace, method, host, path and body. It is
// safe for concurrent use.
type Content struct {
	// Request is the request, or one of its repeats.
	Request *serving.Request
	// route is the name of the request's route; empty if it has none.
	route string

	subjectOnce sync.Once // guards the computation of subject
	subject     Subject

	partsOnce sync.Once // guards the computation of parts
	parts     []Fingerprint

	digestOnce sync.Once // guards the computation of digest
	digest     uint64
}

// NewContent returns the content of r. The caller must not change r afterwards.
func NewContent(r *serving.Request) *Content { return &Content{Request: r} }

// SetRoute sets the name of the request's route. It returns c and must be called before other goroutines use c.
func (c *Content) SetRoute(route string) *Content {
	c.route = route
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

// digestOf returns the digest of the content of r; see Content.Digest.
func digestOf(r *serving.Request) uint64 {
	hash := xxhash.New()
	for _, part := range []string{r.Caller.Workspace, r.Method, r.Host, r.URI} {
		_, _ = hash.WriteString(part) // a write to a hash never returns an error
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return hash.Sum64()
}

// First parts of the fingerprints of scopes, one for each kind of scope. None is the name of a workspace,
// which is the first part of a content's fingerprint, so that a scope never has the fingerprint of a content.
const (
	similarScope  = "\x00similar"
	callerScope   = "\x00caller"
	resourceScope = "\x00resource"
	routeScope    = "\x00route"
)

// Subject returns the fingerprints of the content and of its scopes: the resource (method, host and path) and the
// route, each within the workspace, similar bodies and the address of the caller, each within
// workspace and route, and the parts of the prompt, each within workspace and model. They are computed once, on the first
// call.
func (c *Content) Subject() Subject {
	c.subjectOnce.Do(func() {
		r := c.Request
		workspace := r.Caller.Workspace
		c.subject.Content = FingerprintOf(r)
		c.subject.Scopes = append(c.subject.Scopes, hashParts(nil, resourceScope, workspace, r.Method, r.Host, r.URI))
		if c.route != "" {
			c.subject.Scopes = append(c.subject.Scopes, hashParts(nil, routeScope, workspace, c.route))
			c.addNarrowScopes()
		}
		c.subject.Parts = c.PromptParts()
	})
	return c.subject
}

// PromptParts returns the fingerprints of the parts of the request's prompt, in their order.
func (c *Content) PromptParts() []Fingerprint {
	c.partsOnce.Do(func() { c.parts = partFingerprints(c.Request.Caller.Workspace, c.Request.Prompt) })
	return c.parts
}

// addNarrowScopes adds the scopes that are narrower than the route, for a request that has a route.
func (c *Content) addNarrowScopes() {
	r := c.Request
	for i, hash := range similarHashes(r.Body) {
		part := binary.BigEndian.AppendUint64([]byte{byte(i)}, hash)
		c.subject.Similar = append(c.subject.Similar, hashParts(part, similarScope, r.Caller.Workspace, c.route))
	}
	if r.CallerAddr != "" {
		c.subject.Caller = hashParts(nil, callerScope, r.Caller.Workspace, c.route, r.CallerAddr)
	}
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
