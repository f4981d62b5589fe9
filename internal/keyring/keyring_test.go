package keyring

import (
	"strings"
	"testing"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// newPeerKeys returns one key for each ID, with the secret "secret of ID".
func newPeerKeys(ids ...string) []settings.PeerKey {
	var keys []settings.PeerKey
	for _, id := range ids {
		keys = append(keys, settings.PeerKey{ID: id, Secret: []byte("secret of " + id)})
	}
	return keys
}

// newOperatorKeySums maps names of operators to the sums of their keys, given as alternating names and keys.
func newOperatorKeySums(namesAndKeys ...string) map[string]string {
	keySums := make(map[string]string)
	for i := 0; i < len(namesAndKeys); i += 2 {
		keySums[namesAndKeys[i]] = settings.KeySum(namesAndKeys[i+1])
	}
	return keySums
}

// mustReplace calls Replace with v and returns the descriptions of the changes. An error ends the test.
func mustReplace(t *testing.T, k *Keyring, v Values) []string {
	t.Helper()
	changes, err := k.Replace(v)
	if err != nil {
		t.Fatal(err)
	}
	return changes
}

// rejectionText returns the text of the error with which FindPeerKey rejects this id.
func rejectionText(t *testing.T, k *Keyring, id string) string {
	t.Helper()
	_, err := FindPeerKey(k.PeerKeys(), k.IsRetiredPeerKey, id)
	if !errs.Is(err, errs.Unauthenticated) {
		t.Fatalf("FindPeerKey for ID %q: error %v, want errs.Unauthenticated", id, err)
	}
	return err.Error()
}

// Guards against a misleading error: if a process was left out of a key rotation, the error must not say that
// its key is unknown, since the operator would look for a typing error. This includes a key that was removed two
// rotations ago and one that only the settings list as retired.
func TestRejectionDistinguishesOldPeerKey(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), RetiredPeerKeys: []string{"k0"}})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k1", "k2")})
	if _, err := FindPeerKey(k.PeerKeys(), k.IsRetiredPeerKey, "k1"); err != nil {
		t.Errorf("FindPeerKey for k1 while k1 and k2 are valid: error %v, want none", err)
	}
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k2", "k3")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k3")})
	for id, wantText := range map[string]string{"k0": "old one", "k1": "old one", "k2": "old one", "k9": "not known", "": "sent no key ID"} {
		if got := rejectionText(t, k, id); !strings.Contains(got, wantText) {
			t.Errorf("FindPeerKey for ID %q: error %s, want 'old one' for k0 to k2, 'not known' for k9, 'sent no key ID' for none", id, got)
		}
	}
	if got := k.PeerKeys(); len(got) != 1 || got[0].ID != "k3" {
		t.Errorf("valid peer keys %v, want only k3", got)
	}
}

// Guards against a key that is still rejected as an old one after the operator has put it in force again.
func TestRetiredKeyCanBeRestored(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), OperatorKeySums: newOperatorKeySums("ann", "one")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k2"), OperatorKeySums: newOperatorKeySums("ann", "two")})
	mustReplace(t, k, Values{PeerKeys: newPeerKeys("k1"), OperatorKeySums: newOperatorKeySums("ann", "one")})
	if _, err := FindPeerKey(k.PeerKeys(), k.IsRetiredPeerKey, "k1"); err != nil {
		t.Error(err)
	}
	if name, err := k.FindOperator("one"); name != "ann" || err != nil {
		t.Errorf("operator with the restored key: %q, error %v, want ann", name, err)
	}
	if _, err := k.FindOperator("two"); err == nil || !strings.Contains(err.Error(), "old one of operator ann") {
		t.Error(err)
	}
}

func TestOperatorKeys(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k"), OperatorKeySums: newOperatorKeySums("ann", "a1", "ben", "b1"), RevokedOperatorKeySums: newOperatorKeySums("ann", "a0")})
	changes := mustReplace(t, k, Values{PeerKeys: newPeerKeys("k"), OperatorKeySums: newOperatorKeySums("ann", "a2")})
	if want := "key of operator ann; operator ben removed; revoked operators"; strings.Join(changes, "; ") != want {
		t.Errorf("changes %q, want ann's key, the removal of ben and the revoked operators", changes)
	}
	if name, err := k.FindOperator("a2"); name != "ann" || err != nil {
		t.Errorf("operator with key a2: %q, error %v, want ann", name, err)
	}
	for key, wantText := range map[string]string{"a0": "old one of operator ann", "a1": "old one of operator ann", "b1": "old one of operator ben", "x": "not known"} {
		_, err := k.FindOperator(key)
		if !errs.Is(err, errs.Unauthenticated) || !strings.Contains(err.Error(), wantText) {
			t.Errorf("operator with key %q: error %v, want 'old one' and the name for a0, a1 and b1, 'not known' for x", key, err)
		}
	}
}

// Guards against settings that are half in force after a rejected replacement, which happens if values are put
// in force one by one. The replacement has a valid new operator's key, but also another secret under the ID of
// the peer key in force. Processes with different secrets under one ID reject each other.
func TestRejectedReplacementChangesNothing(t *testing.T) {
	k := New(Values{PeerKeys: newPeerKeys("k1"), OperatorKeySums: newOperatorKeySums("ann", "a1")})
	invalid := Values{
		PeerKeys:        []settings.PeerKey{{ID: "k1", Secret: []byte("another")}},
		OperatorKeySums: newOperatorKeySums("ann", "a2"),
	}
	_, err := k.Replace(invalid)
	if !errs.Is(err, errs.BadSettings) || !strings.Contains(err.Error(), "[peer_keys] k1") || strings.Contains(err.Error(), "another secret of") {
		t.Errorf("replacement with another secret for k1: error %v, want errs.BadSettings that names [peer_keys] k1", err)
	}
	if _, err := k.Replace(Values{OperatorKeySums: newOperatorKeySums("ann", "a2")}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("replacement without a peer key: error %v, want errs.BadSettings", err)
	}
	if got := k.PeerKeys(); string(got[0].Secret) != "secret of k1" {
		t.Error("the secret of k1 was replaced by a rejected replacement")
	}
	if name, err := k.FindOperator("a1"); name != "ann" || err != nil {
		t.Errorf("operator with key a1 after rejected replacements: %q, error %v, want ann", name, err)
	}
}
