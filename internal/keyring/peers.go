package keyring

import (
	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// PeerKeys returns the peer keys that are valid now; the first is for new sessions.
func (k *Keyring) PeerKeys() []settings.PeerKey { return k.current.Load().PeerKeys }

// RetiredPeerKey reports whether the peer key with this id was valid once and no longer is.
func (k *Keyring) RetiredPeerKey(id string) bool {
	_, ok := k.current.Load().retired[id]
	return ok
}

// FindPeerKey returns the valid key with this id. retired reports whether a key was valid once; nil stands
// for no retired keys. Error: errs.Unauthenticated, which says whether the id is missing, that of an old
// key or unknown.
func FindPeerKey(valid []settings.PeerKey, retired func(id string) bool, id string) (settings.PeerKey, error) {
	if id == "" {
		return settings.PeerKey{}, errs.New(errs.Unauthenticated, "the peer sent no key ID")
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
