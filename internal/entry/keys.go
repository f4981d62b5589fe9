package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"sync/atomic"
	"time"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

type keyHash = [sha256.Size]byte

// workspaceKeys finds the workspace of an API key. It is rebuilt when the
// configuration has changed, so that a revoked key ends without a restart.
type workspaceKeys struct {
	source confstate.Source
	built  atomic.Pointer[keyIndex]
}

type keyIndex struct {
	state   *confstate.State
	valid   map[keyHash]structs.WorkspaceID
	revoked map[keyHash]struct{}
}

func (k *workspaceKeys) index() *keyIndex {
	state := k.source.Current()
	if x := k.built.Load(); x != nil && x.state == state {
		return x
	}
	x := newKeyIndex(state)
	k.built.Store(x)
	return x
}

func newKeyIndex(state *confstate.State) *keyIndex {
	x := &keyIndex{
		state:   state,
		valid:   make(map[keyHash]structs.WorkspaceID),
		revoked: make(map[keyHash]struct{}),
	}
	for id, w := range state.Workspaces {
		for _, s := range w.KeyHashes {
			if h, ok := parseHash(s); ok {
				x.valid[h] = id
			}
		}
		for _, s := range w.RevokedHashes {
			if h, ok := parseHash(s); ok {
				x.revoked[h] = struct{}{}
			}
		}
	}
	return x
}

func parseHash(s string) (keyHash, bool) {
	var h keyHash
	n, err := hex.Decode(h[:], []byte(s))
	return h, err == nil && n == len(h) && len(s) == 2*len(h)
}

// configWait is when to come back to an entry without configuration.
const configWait = time.Second

// lookup returns the workspace of key. Errors: errs.Unauthenticated, errs.NoTarget while there
// is no configuration: an entry that has just started must not tell a caller that its
// valid key is not known.
func (x *keyIndex) lookup(key []byte) (structs.WorkspaceID, *errs.Error) {
	if x.state.Version == 0 && len(x.valid) == 0 {
		return "", errs.New(errs.NoTarget, "this entry has no configuration yet").WithRetry(configWait)
	}
	if len(key) == 0 {
		return "", errs.New(errs.Unauthenticated, "no key was sent; send Authorization: Bearer KEY")
	}
	h := sha256.Sum256(key)
	if id, ok := x.valid[h]; ok {
		return id, nil
	}
	if _, ok := x.revoked[h]; ok {
		return "", errs.New(errs.Unauthenticated, "the key was revoked; use the workspace's new key")
	}
	return "", errs.New(errs.Unauthenticated, "the key is not known")
}
