package settings

import (
	"sync/atomic"

	"arbutusramp/core/errs"
)

// Keys are what a process can take anew from its settings file without a restart.
type Keys struct {
	Peers            []PeerKey
	Operators        map[string]string
	RevokedOperators map[string]string
}

// KeyRing holds the keys that are valid now. All copies of the settings share it. A
// nil KeyRing keeps the settings' own keys.
type KeyRing struct{ now atomic.Pointer[Keys] }

// NewKeyRing returns a KeyRing that holds k.
func NewKeyRing(k Keys) *KeyRing {
	r := &KeyRing{}
	r.now.Store(&k)
	return r
}

// Replace makes k the valid keys. Sessions that are up stay up; new ones and new questions
// use k. Without any peer key the process would be alone, so that is
// refused. Error: errs.BadSettings; the former keys stay valid.
func (r *KeyRing) Replace(k Keys) error {
	if len(k.Peers) == 0 {
		return errs.New(errs.BadSettings, "no peer key is left; the former keys stay valid")
	}
	r.now.Store(&k)
	return nil
}

// ValidPeerKeys returns the keys between own processes that are valid now, the first
// for new sessions.
func (e Entry) ValidPeerKeys() []PeerKey {
	if e.Ring == nil {
		return e.PeerKeys
	}
	return e.Ring.now.Load().Peers
}

// Operators returns the operators' keys that are valid now and those that were revoked.
func (e Entry) Operators() (valid, revoked map[string]string) {
	if e.Ring == nil {
		return e.OperatorKeys, e.RevokedOperatorKeys
	}
	k := e.Ring.now.Load()
	return k.Operators, k.RevokedOperators
}

// ValidPeerKeys is as for Entry.
func (s Side) ValidPeerKeys() []PeerKey {
	if s.Ring == nil {
		return s.PeerKeys
	}
	return s.Ring.now.Load().Peers
}

func (e Entry) keys() Keys {
	return Keys{Peers: e.PeerKeys, Operators: e.OperatorKeys, RevokedOperators: e.RevokedOperatorKeys}
}

// ReloadEntryKeys reads the keys of an entry's settings file into r; all else in it needs a
// restart. Error: errs.BadSettings; the former keys stay valid.
func ReloadEntryKeys(path string, r *KeyRing) error {
	e, err := LoadEntry(path)
	if err != nil {
		return err
	}
	return r.Replace(e.keys())
}

// ReloadSideKeys is ReloadEntryKeys for a side.
func ReloadSideKeys(path string, r *KeyRing) error {
	s, err := LoadSide(path)
	if err != nil {
		return err
	}
	return r.Replace(Keys{Peers: s.PeerKeys})
}
