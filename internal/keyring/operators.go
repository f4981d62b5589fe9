package keyring

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"

	"arbutusramp/core/errs"
)

// FindOperator returns the name of the operator whose valid key is key. Error: errs.Unauthenticated, whose text
// says whether the key was valid once or is unknown.
func (k *Keyring) FindOperator(key string) (string, error) {
	current := k.current.Load()
	sum := sha256.Sum256([]byte(key))
	for name, hexSum := range current.OperatorKeySums {
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

// equalSums reports whether hexSum is the hex form of sum. It compares in constant time. A hexSum that is not
// valid hex equals no sum.
func equalSums(hexSum string, sum []byte) bool {
	raw, err := hex.DecodeString(hexSum)
	return err == nil && subtle.ConstantTimeCompare(raw, sum) == 1
}
