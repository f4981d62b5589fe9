// Package quarantine decides which requests are sent to no target any more, because targets have crashed under them. Without it a
// request that crashes its target is sent to one target after the other, by its caller's retries, by other gateways or by the
// backlog, until none is left. It does no I/O.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"io"
	"sync"

	"arbutusramp/core/serving"
)

// Fingerprint identifies the content of a request. Repeats of a request have other ids and may have other headers, and have the
// workspace, method, host, path and body in common.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of r. Its hash is collision-resistant: a caller that could make a request with the
// fingerprint of another could have that one quarantined.
func FingerprintOf(r *serving.Request) Fingerprint {
	h := sha256.New()
	var size [8]byte
	for _, part := range []string{r.Caller.Workspace, r.Method, r.Host, r.URI} {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		_, _ = h.Write(size[:]) // a hash never fails to write
		_, _ = io.WriteString(h, part)
	}
	_, _ = h.Write(r.Body)
	var f Fingerprint
	copy(f[:], h.Sum(nil))
	return f
}

// Content is what a request and its repeats have in common. It is safe for concurrent use.
type Content struct {
	// Request is the request, or one of its repeats.
	Request *serving.Request

	once        sync.Once
	fingerprint Fingerprint
}

// NewContent returns the content of r, which must not change.
func NewContent(r *serving.Request) *Content { return &Content{Request: r} }

// Fingerprint returns the content's fingerprint. It is worked out once, when it is first asked for.
func (c *Content) Fingerprint() Fingerprint {
	c.once.Do(func() { c.fingerprint = FingerprintOf(c.Request) })
	return c.fingerprint
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
