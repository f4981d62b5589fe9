package settings

import (
	"crypto/sha256"
	"encoding/hex"

	"arbutusramp/core/structs"
)

// Keys that `arbutusramp dev` and tests use. They are public: LoadEntry and LoadSide
// never fall back to them.
const (
	DevOperator    = "dev"
	DevOperatorKey = "dev-operator-key"
	devPeerKeyID   = "dev"
	devPeerSecret  = "dev-peer-secret-not-for-production"
)

const anyLoopbackPort = "127.0.0.1:0"

// DefaultEntry returns the default of every key, loopback listeners on free
// ports and well-known keys. It is for dev and tests: the platform's
// URLs are left to set.
func DefaultEntry() Entry {
	var e Entry
	setDefaults(entryTable(), &e)
	e.Host = Identity{ID: "entry-1", Domain: "domain-1"}
	e.CallerAddr = anyLoopbackPort
	e.AdminAddr = anyLoopbackPort
	e.PeerAddr = anyLoopbackPort
	e.StatusAddr = anyLoopbackPort
	e.PeerKeys = devPeerKeys()
	e.OperatorKeys = map[string]string{DevOperator: KeySum(DevOperatorKey)}
	return e
}

// DefaultSide is DefaultEntry for a side of a model engine; TargetURL is left to set.
func DefaultSide() Side {
	var s Side
	setDefaults(sideTable(), &s)
	s.Host = Identity{ID: "side-1", Domain: "domain-1"}
	s.SessionAddr = anyLoopbackPort
	s.StatusAddr = anyLoopbackPort
	s.PeerKeys = devPeerKeys()
	s.Target = structs.TargetInfo{ID: "target-1", Kind: structs.KindEngine, Models: []structs.ModelID{"model-1"}}
	return s
}

func devPeerKeys() []PeerKey {
	return []PeerKey{{ID: devPeerKeyID, Secret: []byte(devPeerSecret)}}
}

// KeySum returns the SHA-256 sum of an API or operator key in hexadecimal, the
// form in which keys stand in settings and configuration.
func KeySum(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
