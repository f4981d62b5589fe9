package keyring

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// newPeerKeys returns one key for each ID.
func newPeerKeys(ids ...string) []settings.PeerKey {
	var list []settings.PeerKey
	for _, id := range ids {
		list = append(list, settings.PeerKey{ID: id, Secret: []byte("secret of " + id)})
	}
	return list
}

// newOperators returns the sums of keys, given as pairs of name and key.
func newOperators(namesAndKeys ...string) map[string]string {
	m := make(map[string]string)
	for i := 0; i < len(namesAndKeys); i += 2 {
		m[namesAndKeys[i]] = settings.KeySum(namesAndKeys[i+1])
	}
	return m
}

// mustReplace puts v in force and returns the described changes.
func mustReplace(t *testing.T, k *Keyring, v Values) []string {
	t.Helper()
	changed, err := k.Replace(v)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// rejectionText returns the error text for the peer key with this id.
func rejectionText(t *testing.T, k *Keyring, id string) string {
	t.Helper()
	_, err := FindPeerKey(k.PeerKeys(), k.RetiredPeerKey, id)
	if !errs.Is(err, errs.Unauthenticated) {
		t.Fatalf("key %q: %v", id, err)
	}
	return err.Error()
}

// Guards against a misleading error: the operator looks for a typing error while a process was left out of
// a rotation. An old key must be distinguishable from one that was never valid, including a key that was
// removed two rotations ago and one that only the settings list as retired.
func TestRejectionDistinguishesOldPeerKey(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), RetiredPeerKeys: []string{"k0"}})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k1", "k2")})
	if _, err := FindPeerKey(k.PeerKeys(), k.RetiredPeerKey, "k1"); err != nil {
		t.Errorf("old key during the rotation: %v", err)
	}
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k2", "k3")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k3")})
	for id, wantText := range map[string]string{"k0": "old one", "k1": "old one", "k2": "old one", "k9": "not known", "": "sent no key ID"} {
		if got := rejectionText(t, k, id); !strings.Contains(got, wantText) {
			t.Errorf("key %q: %s", id, got)
		}
	}
	if got := k.PeerKeys(); len(got) != 1 || got[0].ID != "k3" {
		t.Errorf("keys in force %v", got)
	}
}

// Guards against a key that stays rejected as old after the operator has put it in force again.
func TestRetiredKeyCanBeRestored(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), Operators: newOperators("ann", "one")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k2"), Operators: newOperators("ann", "two")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k1"), Operators: newOperators("ann", "one")})
	if _, err := FindPeerKey(k.PeerKeys(), k.RetiredPeerKey, "k1"); err != nil {
		t.Error(err)
	}
	if name, err := k.Operator("one"); name != "ann" || err != nil {
		t.Errorf("%q, %v", name, err)
	}
	if _, err := k.Operator("two"); err == nil || !strings.Contains(err.Error(), "old one of operator ann") {
		t.Error(err)
	}
}

func TestOperatorKeys(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k"), Operators: newOperators("ann", "a1", "ben", "b1"), RevokedOperators: newOperators("ann", "a0")})
	changed := mustReplace(t, k, Values{PeerKeys: newPeerKeys("k"), Operators: newOperators("ann", "a2")})
	if want := "key of operator ann; operator ben removed; revoked operators"; strings.Join(changed, "; ") != want {
		t.Errorf("changed %q", changed)
	}
	if name, err := k.Operator("a2"); name != "ann" || err != nil {
		t.Errorf("%q, %v", name, err)
	}
	for key, wantText := range map[string]string{"a0": "old one of operator ann", "a1": "old one of operator ann", "b1": "old one of operator ben", "x": "not known"} {
		_, err := k.Operator(key)
		if !errs.Is(err, errs.Unauthenticated) || !strings.Contains(err.Error(), wantText) {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

// Guards against a rotation that is half in force after a mistake: the settings file has valid new
// operators' keys, and another secret under the ID of the current peer key. This happens if values are put
// in force one by one. Processes with and without the new secret under one ID reject each other.
func TestRejectedReplacementChangesNothing(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), Operators: newOperators("ann", "a1")})
	invalid := Values{
		PeerKeys:  []settings.PeerKey{{ID: "k1", Secret: []byte("another")}},
		Operators: newOperators("ann", "a2"),
	}
	_, err := k.Replace(invalid)
	if !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), "[peer_keys] k1") || strings.Contains(err.Error(), "another secret of") {
		t.Errorf("error %v", err)
	}
	if _, err := k.Replace(Values{Operators: newOperators("ann", "a2")}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("no peer key: %v", err)
	}
	if got := k.PeerKeys(); string(got[0].Secret) != "secret of k1" {
		t.Error("the peer key was replaced")
	}
	if name, err := k.Operator("a1"); name != "ann" || err != nil {
		t.Errorf("operator %q, %v", name, err)
	}
}
