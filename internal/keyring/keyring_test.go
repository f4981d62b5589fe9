package keyring

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

func peerKeys(ids ...string) []settings.PeerKey {
	var list []settings.PeerKey
	for _, id := range ids {
		list = append(list, settings.PeerKey{ID: id, Secret: []byte("secret of " + id)})
	}
	return list
}

func operators(namesAndKeys ...string) map[string]string {
	m := make(map[string]string)
	for i := 0; i < len(namesAndKeys); i += 2 {
		m[namesAndKeys[i]] = settings.KeySum(namesAndKeys[i+1])
	}
	return m
}

func replace(t *testing.T, k *Keyring, v Values) []string {
	t.Helper()
	changed, err := k.Replace(v)
	if err != nil {
		t.Fatal(err)
	}
	return changed
}

// refusal returns why key id is refused.
func refusal(t *testing.T, k *Keyring, id string) string {
	t.Helper()
	_, err := FindPeerKey(k.PeerKeys(), k.RetiredPeerKey, id)
	if !errs.Is(err, errs.Unauthenticated) {
		t.Fatalf("key %q: %v", id, err)
	}
	return err.Error()
}

// Symptom: an operator looks for a typing error, while a process was left out of a
// rotation. An old key must be told from one that was never valid, also one that was removed two
// rotations ago, and also one that only the settings know as retired.
func TestEachBadPeerKeyHasItsOwnRefusal(t *testing.T) {
	k := New(Values{PeerKeys: peerKeys("k1"), RetiredPeerKeys: []string{"k0"}})
	replace(t, k, Values{PeerKeys: peerKeys("k1", "k2")})
	if _, err := FindPeerKey(k.PeerKeys(), k.RetiredPeerKey, "k1"); err != nil {
		t.Errorf("the old key during the rotation: %v", err)
	}
	replace(t, k, Values{PeerKeys: peerKeys("k2", "k3")})
	replace(t, k, Values{PeerKeys: peerKeys("k3")})
	for id, says := range map[string]string{"k0": "old one", "k1": "old one", "k2": "old one", "k9": "not known", "": "names no key"} {
		if got := refusal(t, k, id); !strings.Contains(got, says) {
			t.Errorf("key %q: %s", id, got)
		}
	}
	if got := k.PeerKeys(); len(got) != 1 || got[0].ID != "k3" {
		t.Errorf("keys in force %v", got)
	}
}

// Symptom: the operator goes back to the key before, and it stays refused as old.
func TestARetiredKeyCanComeBack(t *testing.T) {
	k := New(Values{PeerKeys: peerKeys("k1"), Operators: operators("ann", "one")})
	replace(t, k, Values{PeerKeys: peerKeys("k2"), Operators: operators("ann", "two")})
	replace(t, k, Values{PeerKeys: peerKeys("k1"), Operators: operators("ann", "one")})
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

func TestOperatorsKeys(t *testing.T) {
	k := New(Values{PeerKeys: peerKeys("k"), Operators: operators("ann", "a1", "ben", "b1"), RevokedOperators: operators("ann", "a0")})
	changed := replace(t, k, Values{PeerKeys: peerKeys("k"), Operators: operators("ann", "a2")})
	if want := "key of operator ann; operator ben removed; revoked operators"; strings.Join(changed, "; ") != want {
		t.Errorf("changed %q", changed)
	}
	if name, err := k.Operator("a2"); name != "ann" || err != nil {
		t.Errorf("%q, %v", name, err)
	}
	for key, says := range map[string]string{"a0": "old one of operator ann", "a1": "old one of operator ann", "b1": "old one of operator ben", "x": "not known"} {
		_, err := k.Operator(key)
		if !errs.Is(err, errs.Unauthenticated) || !strings.Contains(err.Error(), says) {
			t.Errorf("key %q: %v", key, err)
		}
	}
}

// Symptom: half of a rotation is in force after a mistake. Sequence: the file has good new
// operators' keys and, under the ID of the present peer key, another secret. Cause: values that are put
// into force one by one. Under one ID, processes with and without the new secret refuse each other.
func TestAFaultChangesNothing(t *testing.T) {
	k := New(Values{PeerKeys: peerKeys("k1"), Operators: operators("ann", "a1")})
	bad := Values{
		PeerKeys:  []settings.PeerKey{{ID: "k1", Secret: []byte("another")}},
		Operators: operators("ann", "a2"),
	}
	_, err := k.Replace(bad)
	if !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), "[peer_keys] k1") || strings.Contains(err.Error(), "another secret of") {
		t.Errorf("error %v", err)
	}
	if _, err := k.Replace(Values{Operators: operators("ann", "a2")}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("no peer key at all: %v", err)
	}
	if got := k.PeerKeys(); string(got[0].Secret) != "secret of k1" {
		t.Error("the peer key was replaced")
	}
	if name, err := k.Operator("a1"); name != "ann" || err != nil {
		t.Errorf("operator %q, %v", name, err)
	}
}
