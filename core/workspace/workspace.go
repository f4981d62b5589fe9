// Package workspace holds the workspaces of the operator's configuration, and finds the workspace that an API
// key belongs to. It does no I/O. Keys are kept only as digests, so that no log line, metric or record can
// contain one.
package workspace

import (
	"crypto/sha256"
	"strings"

	"golang.org/x/net/http/httpguts"

	"arbutusramp/core/errs"
)

// Digest is the SHA-256 sum of an API key.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Quota limits the online requests of a workspace, across all gateways.
type Quota struct {
	PerSecond float64 // 0 for no limit
	Burst     float64 // requests that may arrive at once beyond the rate
}

// IsLimited reports whether the quota limits anything.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Workspace is one workspace of the configuration.
type Workspace struct {
	Name  string
	Keys  []Digest
	Rank  *int // takes precedence over the rank of the route; nil if the workspace has none
	Quota Quota
}

// maxNameBytes bounds the size of a name, which is sent to targets in a header.
const maxNameBytes = 256

// Validate reports why the workspace cannot be used. Error: errs.BadRequest.
func (w *Workspace) Validate() error {
	switch {
	case w.Name == "":
		return errs.New(errs.BadRequest, "a workspace has no name")
	case len(w.Name) > maxNameBytes:
		return errs.Newf(errs.BadRequest, "the name of a workspace has %d bytes, at most %d are allowed", len(w.Name), maxNameBytes)
	case !httpguts.ValidHeaderFieldValue(w.Name) || strings.TrimSpace(w.Name) != w.Name:
		return errs.Newf(errs.BadRequest, "the name of workspace %q is not a header value", w.Name)
	}
	return nil
}

// Index finds workspaces by key and by name. It is immutable.
type Index struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// NewIndex indexes workspaces. Those that cannot be used are left out and returned as problems: invalid ones,
// later ones with a name that is already used, and keys that two workspaces have, since the owner of a
// request with such a key is ambiguous.
func NewIndex(list []Workspace) (*Index, []error) {
	x := &Index{byKey: make(map[Digest]*Workspace), byName: make(map[string]*Workspace, len(list))}
	var problems []error
	for i := range list {
		w := &list[i]
		if err := w.Validate(); err != nil {
			problems = append(problems, err)
			continue
		}
		if _, ok := x.byName[w.Name]; ok {
			problems = append(problems, errs.Newf(errs.BadRequest, "workspace %q is listed twice: the first entry is used", w.Name))
			continue
		}
		x.byName[w.Name] = w
	}
	return x, append(problems, x.indexKeys(list)...)
}

// indexKeys fills byKey.
func (x *Index) indexKeys(list []Workspace) (problems []error) {
	shared := make(map[Digest]bool)
	for i := range list {
		w := &list[i]
		if x.byName[w.Name] != w {
			continue
		}
		for _, key := range w.Keys {
			other, taken := x.byKey[key]
			if taken && other != w {
				shared[key] = true
				problems = append(problems, errs.Newf(errs.BadRequest, "workspaces %q and %q have the same key, which is rejected", other.Name, w.Name))
				continue
			}
			x.byKey[key] = w
		}
	}
	for key := range shared {
		delete(x.byKey, key)
	}
	return problems
}

// ByKey returns the workspace that has a key.
func (x *Index) ByKey(key Digest) (*Workspace, bool) {
	w, ok := x.byKey[key]
	return w, ok
}

// All calls visit for each workspace.
func (x *Index) All(visit func(*Workspace)) {
	for _, w := range x.byName {
		visit(w)
	}
}

// Ranks returns how many workspaces have each rank.
func (x *Index) Ranks() map[int]int {
	ranks := make(map[int]int)
	for _, w := range x.byName {
		if w.Rank != nil {
			ranks[*w.Rank]++
		}
	}
	return ranks
}

// Len is the number of workspaces.
func (x *Index) Len() int { return len(x.byName) }
