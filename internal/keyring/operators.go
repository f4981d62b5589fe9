package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"arbutusramp/core/errs"
)

// Operator returns the name of the operator who holds key. Error: errs.Unauthenticated, which says whether
// the key is an old one or unknown.
func (k *Keyring) Operator(key string) (string, error) {
	current := k.current.Load()
	sum := sha256.Sum256([]byte(key))
	for name, want := range current.Operators {
		if equalSums(want, sum[:]) {
			return name, nil
		}
	}
	for want, name := range current.revoked {
		if equalSums(want, sum[:]) {
			return "", errs.Newf(errs.Unauthenticated, "the key is an old one of operator %s; use the new one", name)
		}
	}
	return "", errs.New(errs.Unauthenticated, "the operator's key is not known")
}

// equalSums compares a sum in hex with a raw one, in constant time.
func equalSums(want string, sum []byte) bool {
	raw, err := hex.DecodeString(want)
	return err == nil && subtle.ConstantTimeCompare(raw, sum) == 1
}
