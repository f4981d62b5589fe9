// Package workspace describes workspaces: the tenancies of customers, each with API keys, a rank and a quota,
// that an operator configures. Gateways use it to find the workspace that the API key of a request belongs
// to. It does no I/O. Keys are kept only as digests, so that no log line, metric or record can contain one.
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

// Quota limits the online requests of a workspace, summed over all gateways.
type Quota struct {
	PerSecond float64 // requests per second; 0 for no limit
	Burst     float64 // requests that are allowed at once in addition to the rate
}

// IsLimited reports whether the quota limits requests at all.
func (q Quota) IsLimited() bool { return q.PerSecond > 0 }

// Workspace is the tenancy of one customer, as configured by the operator.
type Workspace struct {
	Name  string
	Keys  []Digest // digests of the API keys that belong to it
	Rank  *int     // urgency of its requests, 0 the most urgent; replaces the rank of the route, unless nil
	Quota Quota
}

// maxNameBytes is the largest size of a workspace's name, which is sent to targets in a header.
const maxNameBytes = 256

// Validate returns an error if the workspace cannot be used because of its name. Error: errs.BadRequest.
func (w *Workspace) Validate() error {
	switch {
	case w.Name == "":
		return errs.New(errs.BadRequest, "a workspace has no name")
	case len(w.Name) > maxNameBytes:
		return errs.Newf(errs.BadRequest, "the name of a workspace has %d bytes, at most %d are allowed", len(w.Name), maxNameBytes)
	case !httpguts.ValidHeaderFieldValue(w.Name) || strings.TrimSpace(w.Name) != w.Name:
		return errs.Newf(errs.BadRequest, "the name of workspace %q cannot be sent in a header", w.Name)
	}
	return nil
}

// Index holds the usable workspaces of a configuration and finds them by API key. It is immutable.
type Index struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// NewIndex returns an index of the workspaces in list, and an error for each part of it that cannot be used
// and is left out: invalid workspaces, those with the name of an earlier one, and keys that more than one
// workspace has, because it is ambiguous which workspace a request with such a key belongs to.
func NewIndex(list []Workspace) (*Index, []error) {
	ix := &Index{byKey: make(map[Digest]*Workspace), byName: make(map[string]*Workspace, len(list))}
	var problems []error
	for i := range list {
		w := &list[i]
		if err := w.Validate(); err != nil {
			problems = append(problems, err)
			continue
		}
		if _, ok := ix.byName[w.Name]; ok {
			problems = append(problems, errs.Newf(errs.BadRequest, "workspace %q is listed twice: the first entry is used", w.Name))
			continue
		}
		ix.byName[w.Name] = w
	}
	return ix, append(problems, ix.indexKeys(list)...)
}

// indexKeys fills byKey with the keys of the workspaces in byName, without those that more than one of them
// has, and returns an error for each such key and further workspace.
func (ix *Index) indexKeys(list []Workspace) (problems []error) {
	sharedKeys := make(map[Digest]bool)
	for i := range list {
		w := &list[i]
		if ix.byName[w.Name] != w {
			continue
		}
		for _, key := range w.Keys {
			other, isTaken := ix.byKey[key]
			if isTaken && other != w {
				sharedKeys[key] = true
				problems = append(problems, errs.Newf(errs.BadRequest, "workspaces %q and %q have the same key, which is rejected", other.Name, w.Name))
				continue
			}
			ix.byKey[key] = w
		}
	}
	for key := range sharedKeys {
		delete(ix.byKey, key)
	}
	return problems
}

// ByKey returns the workspace that the API key with a digest belongs to; false if there is none.
func (ix *Index) ByKey(key Digest) (*Workspace, bool) {
	w, ok := ix.byKey[key]
	return w, ok
}

// ForEach calls visit for each workspace, in no particular order.
func (ix *Index) ForEach(visit func(*Workspace)) {
	for _, w := range ix.byName {
		visit(w)
	}
}

// RankCounts returns how many workspaces have each rank, without those that have none.
func (ix *Index) RankCounts() map[int]int {
	ranks := make(map[int]int)
	for _, w := range ix.byName {
		if w.Rank != nil {
			ranks[*w.Rank]++
		}
	}
	return ranks
}

// Len is the number of workspaces.
func (ix *Index) Len() int { return len(ix.byName) }
