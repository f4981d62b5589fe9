package keyring

import (
	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// PeerKeys returns the valid peer keys; the first is used for new sessions.
func (k *Keyring) PeerKeys() []settings.PeerKey { return k.current.Load().PeerKeys }

// IsRetiredPeerKey reports whether the peer key with this id was valid once but no longer is.
func (k *Keyring) IsRetiredPeerKey(id string) bool {
	_, ok := k.current.Load().retired[id]
	return ok
}

// FindPeerKey returns the key in valid with this id. isRetired reports whether an id is that of a key that was
// valid once; nil means that there are no such keys. Error: errs.Unauthenticated, whose text says whether the id
// is empty, that of a retired key, or unknown.
func FindPeerKey(valid []settings.PeerKey, isRetired func(id string) bool, id string) (settings.PeerKey, error) {
	if id == "" {
		return settings.PeerKey{}, errs.New(errs.Unauthenticated, "the peer sent no key ID")
	}
	for _, key := range valid {
		if key.ID == id {
			return key, nil
		}
	}
	if isRetired != nil && isRetired(id) {
		return settings.PeerKey{}, errs.Newf(errs.Unauthenticated, "peer key %q is an old one; it was retired in this process", id)
	}
	return settings.PeerKey{}, errs.Newf(errs.Unauthenticated, "peer key %q is not known to this process", id)
}
