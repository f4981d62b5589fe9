package singlesend

import (
	"sync"
	"sync/atomic"
	"time"
)

// RecentSet remembers keys for a limited time. It is safe for concurrent use.
type RecentSet struct {
	retention time.Duration
	maxKeys   int
	count     atomic.Int64 // length of expiry: most sets are empty

	mu     sync.Mutex
	expiry map[string]time.Time // by key
}

// NewRecentSet returns an empty set that remembers up to maxKeys keys, each for retention.
func NewRecentSet(retention time.Duration, maxKeys int) *RecentSet {
	return &RecentSet{retention: retention, maxKeys: maxKeys, expiry: make(map[string]time.Time)}
}

// Note remembers a key from now on. If there are too many, it forgets those that have expired, or any other.
func (r *RecentSet) Note(key string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.expiry[key]; !ok && len(r.expiry) >= r.maxKeys {
		r.makeRoom(now)
	}
	r.expiry[key] = now.Add(r.retention)
	r.count.Store(int64(len(r.expiry)))
}

// makeRoom forgets the keys that have expired, or any one if there are none. The caller holds the lock.
func (r *RecentSet) makeRoom(now time.Time) {
	for key, expiry := range r.expiry {
		if !now.Before(expiry) {
			delete(r.expiry, key)
		}
	}
	for key := range r.expiry {
		if len(r.expiry) < r.maxKeys {
			return
		}
		delete(r.expiry, key)
	}
}

// Has reports whether a key is remembered.
func (r *RecentSet) Has(key string, now time.Time) bool {
	if r.count.Load() == 0 {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	expiry, ok := r.expiry[key]
	if ok && !now.Before(expiry) {
		delete(r.expiry, key)
		r.count.Store(int64(len(r.expiry)))
		return false
	}
	return ok
}
