// Package keyring holds the keys and certificates that a running process goes by, and
// replaces them as a whole without a restart. Connections that are open stay open: a key is
// looked at when a session opens, a call comes in or a TLS handshake begins.
package keyring

import (
	"crypto/tls"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"arbutusramp/core/errs"
	"arbutusramp/internal/settings"
)

// Values are keys and certificates as the settings have them.
type Values struct {
	// PeerKeys are the keys between own processes; the first is used for new sessions.
	PeerKeys []settings.PeerKey
	// RetiredPeerKeys are IDs of peer keys that were valid once.
	RetiredPeerKeys []string
	// Operators maps an operator's name to the SHA-256 sum of the key (hex).
	Operators map[string]string
	// RevokedOperators are operators' keys that were valid once.
	RevokedOperators map[string]string
	// Callers and Admin are the certificates of the two listeners; nil is plain HTTP.
	Callers, Admin *tls.Certificate
}

// EntryValues takes the values of an entry from its settings and reads the certificate
// files. Error: errs.BadSettings with every fault, one a line.
func EntryValues(s settings.Entry) (Values, error) {
	callers, callersErr := readCertificate(s.CallerCert, s.CallerKey)
	admin, adminErr := readCertificate(s.AdminCert, s.AdminKey)
	v := Values{
		PeerKeys:         s.PeerKeys,
		RetiredPeerKeys:  s.RetiredPeerKeys,
		Operators:        s.OperatorKeys,
		RevokedOperators: s.RevokedOperatorKeys,
		Callers:          callers,
		Admin:            admin,
	}
	return v, faults(callersErr, adminErr)
}

// SideValues takes the values of a side from its settings.
func SideValues(s settings.Side) Values {
	return Values{PeerKeys: s.PeerKeys, RetiredPeerKeys: s.RetiredPeerKeys}
}

// Keyring holds the values that are in force. It is safe for concurrent use.
type Keyring struct {
	mu  sync.Mutex // one Replace at a time
	now atomic.Pointer[snapshot]
}

// snapshot is never changed once it is in force.
type snapshot struct {
	Values
	// retired are IDs of peer keys that were valid once, by the settings or by
	// what this process has seen.
	retired map[string]struct{}
	// revoked maps sums of operators' keys that were valid once to the operator's name.
	revoked map[string]string
}

// New returns a Keyring in which v is in force.
func New(v Values) *Keyring {
	k := &Keyring{}
	k.now.Store(newSnapshot(v, &snapshot{}))
	return k
}

// newSnapshot remembers what was in force before, so that whoever still uses an old key
// is told that it is old, and not that it is unknown.
func newSnapshot(v Values, before *snapshot) *snapshot {
	s := &snapshot{Values: v, retired: maps.Clone(before.retired), revoked: maps.Clone(before.revoked)}
	if s.retired == nil {
		s.retired = make(map[string]struct{})
		s.revoked = make(map[string]string)
	}
	for _, key := range before.PeerKeys {
		s.retired[key.ID] = struct{}{}
	}
	for _, id := range v.RetiredPeerKeys {
		s.retired[id] = struct{}{}
	}
	for _, key := range v.PeerKeys {
		delete(s.retired, key.ID)
	}
	for _, m := range []map[string]string{before.Operators, v.RevokedOperators} {
		for name, sum := range m {
			s.revoked[sum] = name
		}
	}
	for _, sum := range v.Operators {
		delete(s.revoked, sum)
	}
	return s
}

// Replace puts v into force and returns what changed, in words. Error: errs.BadSettings with
// every fault, one a line; nothing has changed then.
func (k *Keyring) Replace(v Values) ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before := k.now.Load()
	if err := check(before, v); err != nil {
		return nil, err
	}
	k.now.Store(newSnapshot(v, before))
	return changes(&before.Values, &v), nil
}

// check finds what can't be put into force in a running process.
func check(before *snapshot, v Values) error {
	var found []error
	if len(v.PeerKeys) == 0 {
		found = append(found, errs.New(errs.BadSettings, "[peer_keys]: no key is left, and the process would be alone; allowed: at least one"))
	}
	for _, key := range v.PeerKeys {
		i := slices.IndexFunc(before.PeerKeys, func(old settings.PeerKey) bool { return old.ID == key.ID })
		// With one ID for two secrets no overlap is possible: until the last process
		// has the new secret, those with and those without it refuse each other.
		if i >= 0 && string(before.PeerKeys[i].Secret) != string(key.Secret) {
			found = append(found, errs.Newf(errs.BadSettings, "[peer_keys] %s: another secret than before; allowed: a new ID for a new secret", key.ID))
		}
	}
	if (before.Callers == nil) != (v.Callers == nil) {
		found = append(found, errs.New(errs.BadSettings, "[tls] caller_cert: turning TLS on or off needs a restart"))
	}
	if (before.Admin == nil) != (v.Admin == nil) {
		found = append(found, errs.New(errs.BadSettings, "[tls] admin_cert: turning TLS on or off needs a restart"))
	}
	return faults(found...)
}

// changes names what differs, without any secret.
func changes(a, b *Values) []string {
	var list []string
	oldIDs, newIDs := peerIDs(a.PeerKeys), peerIDs(b.PeerKeys)
	if !slices.Equal(oldIDs, newIDs) {
		list = append(list, fmt.Sprintf("peer keys %s in place of %s", strings.Join(newIDs, ","), strings.Join(oldIDs, ",")))
	}
	if !slices.Equal(a.RetiredPeerKeys, b.RetiredPeerKeys) {
		list = append(list, "retired peer keys")
	}
	for _, name := range slices.Sorted(maps.Keys(b.Operators)) {
		if a.Operators[name] != b.Operators[name] {
			list = append(list, "key of operator "+name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(a.Operators)) {
		if _, ok := b.Operators[name]; !ok {
			list = append(list, "operator "+name+" removed")
		}
	}
	if !maps.Equal(a.RevokedOperators, b.RevokedOperators) {
		list = append(list, "revoked operators")
	}
	if !sameCertificate(a.Callers, b.Callers) {
		list = append(list, "certificate of the callers' listener")
	}
	if !sameCertificate(a.Admin, b.Admin) {
		list = append(list, "certificate of the administration listener")
	}
	return list
}

func peerIDs(keys []settings.PeerKey) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = key.ID
	}
	return ids
}

// faults joins errors of type errs.BadSettings into one; nil for none.
func faults(list ...error) error {
	var lines []string
	for _, err := range list {
		if err != nil {
			lines = append(lines, errs.As(err).Detail)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return errs.New(errs.BadSettings, strings.Join(lines, "\n"))
}
