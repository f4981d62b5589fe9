package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"arbutusramp/core/errs"
)

// Operator returns the name of the operator whose key it is. Error: errs.Unauthenticated,
// which says whether the key is an old one or not known.
func (k *Keyring) Operator(key string) (string, error) {
	now := k.now.Load()
	sum := sha256.Sum256([]byte(key))
	for name, want := range now.Operators {
		if sameSum(want, sum[:]) {
			return name, nil
		}
	}
	for want, name := range now.revoked {
		if sameSum(want, sum[:]) {
			return "", errs.Newf(errs.Unauthenticated, "the key is an old one of operator %s; use the new one", name)
		}
	}
	return "", errs.New(errs.Unauthenticated, "the operator's key is not known")
}

// sameSum compares in constant time.
func sameSum(want string, sum []byte) bool {
	raw, err := hex.DecodeString(want)
	return err == nil && subtle.ConstantTimeCompare(raw, sum) == 1
}
