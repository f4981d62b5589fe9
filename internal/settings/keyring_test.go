package settings

import (
	"os"
	"strings"
	"testing"

	"arbutusramp/core/errs"
)

// Symptom: keys can only be changed by restarting every process.
// Sequence: an operator changes the keys in the file and tells the process to read them.
func TestKeysAreReadAgain(t *testing.T) {
	path := write(t, goodEntry+"[operators]\nann = "+KeySum("first")+"\n")
	e, err := LoadEntry(path)
	if err != nil {
		t.Fatal(err)
	}
	user := e // as a part of the process holds the settings
	rotated := strings.Replace(goodEntry, "old = ffeeddccbbaa99887766554433221100", "next = 0123456789abcdef0123456789abcdef", 1) +
		"[operators]\nann = " + KeySum("second") + "\n[revoked_operators]\nann = " + KeySum("first") + "\n"
	if err := os.WriteFile(path, []byte(rotated), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := ReloadEntryKeys(path, e.Ring); err != nil {
		t.Fatal(err)
	}
	peers := user.ValidPeerKeys()
	if len(peers) != 2 || peers[1].ID != "next" {
		t.Errorf("peer keys %v", peers)
	}
	valid, revoked := user.Operators()
	if valid["ann"] != KeySum("second") || revoked["ann"] != KeySum("first") {
		t.Errorf("operators %v, revoked %v", valid, revoked)
	}
}

// Symptom: a process is cut off from all others by a slip in its settings file.
// Sequence: the file is read again while it has a fault, or no peer key.
func TestKeysOfAFaultyFileAreNotTaken(t *testing.T) {
	path := write(t, goodSide)
	s, err := LoadSide(path)
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{
		strings.Replace(goodSide, "[peer_keys]\nnew = 00112233445566778899aabbccddeeff\n", "", 1),
		strings.Replace(goodSide, "kind = engine", "kind = motor", 1),
	} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := ReloadSideKeys(path, s.Ring); !errs.Is(err, errs.BadSettings) {
			t.Errorf("error %v", err)
		}
	}
	if err := s.Ring.Replace(Keys{}); !errs.Is(err, errs.BadSettings) {
		t.Errorf("no keys at all: %v", err)
	}
	if keys := s.ValidPeerKeys(); len(keys) != 1 || keys[0].ID != "new" {
		t.Errorf("peer keys %v", keys)
	}
}
