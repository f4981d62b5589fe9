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
	for name, hexSum := range current.Operators {
		if equalSums(hexSum, sum[:]) {
			return name, nil
		}
	}
	for hexSum, name := range current.revoked {
		if equalSums(hexSum, sum[:]) {
			return "", errs.Newf(errs.Unauthenticated, "the key is an old one of operator %s; use the new one", name)
		}
	}
	return "", errs.New(errs.Unauthenticated, "the operator's key is not known")
}

// equalSums reports whether two sums are equal, in constant time. hexSum is in hex; one that cannot be
// decoded equals none.
func equalSums(hexSum string, sum []byte) bool {
	raw, err := hex.DecodeString(hexSum)
	return err == nil && subtle.ConstantTimeCompare(raw, sum) == 1
}
