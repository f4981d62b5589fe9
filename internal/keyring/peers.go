package keyring

import (
	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// PeerKeys returns the peer keys that are valid now; the first is for new sessions.
func (k *Keyring) PeerKeys() []settings.PeerKey { return k.now.Load().PeerKeys }

// RetiredPeerKey says whether the peer key id was valid once and is no longer.
func (k *Keyring) RetiredPeerKey(id string) bool {
	_, ok := k.now.Load().retired[id]
	return ok
}

// FindPeerKey returns the key id among those that are valid. retired tells of keys that were valid
// once; nil knows none. Error: errs.Unauthenticated, which says whether the key is missing, an
// old one or not known.
func FindPeerKey(valid []settings.PeerKey, retired func(id string) bool, id string) (settings.PeerKey, error) {
	if id == "" {
		return settings.PeerKey{}, errs.New(errs.Unauthenticated, "the peer names no key")
	}
	for _, key := range valid {
		if key.ID == id {
			return key, nil
		}
	}
	if retired != nil && retired(id) {
		return settings.PeerKey{}, errs.Newf(errs.Unauthenticated, "peer key %q is an old one; it was retired here", id)
	}
	return settings.PeerKey{}, errs.Newf(errs.Unauthenticated, "peer key %q is not known here", id)
}
