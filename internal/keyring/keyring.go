// Package keyring holds the keys and certificates that are in force in a running process, and replaces all
// of them at once without a restart. Open connections stay open: a key is checked when a session opens, a
// call arrives or a TLS handshake starts.
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

// Values are the keys and certificates from the settings.
type Values struct {
	// PeerKeys are the keys between processes of this system; the first is used for new sessions.
	PeerKeys []settings.PeerKey
	// RetiredPeerKeys are the IDs of peer keys that are no longer valid.
	RetiredPeerKeys []string
	// Operators maps the name of an operator to the SHA-256 sum of the operator's key (hex).
	Operators map[string]string
	// RevokedOperators maps the name of an operator to the SHA-256 sum of a key that is no longer valid
	// (hex).
	RevokedOperators map[string]string
	// Callers and Admin are the certificates of the two listeners; nil means plain HTTP.
	Callers, Admin *tls.Certificate
}

// EntryValues returns the values of an entry from its settings, and reads the certificate files. Error:
// errs.BadSettings, which lists every fault on a line of its own.
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
	return v, joinErrors(callersErr, adminErr)
}

// SideValues returns the values of a side from its settings.
func SideValues(s settings.Side) Values {
	return Values{PeerKeys: s.PeerKeys, RetiredPeerKeys: s.RetiredPeerKeys}
}

// Keyring holds the values that are in force. It is safe for concurrent use.
type Keyring struct {
	mu      sync.Mutex // serializes Replace
	current atomic.Pointer[snapshot]
}

// snapshot is the immutable state of a Keyring.
type snapshot struct {
	Values
	// retired holds the IDs of peer keys that are no longer valid, by the settings or by an earlier
	// Replace.
	retired map[string]struct{}
	// revoked maps the sums of operators' keys that are no longer valid to the names of the operators.
	revoked map[string]string
}

// New returns a Keyring in which v is in force.
func New(v Values) *Keyring {
	k := &Keyring{}
	k.current.Store(newSnapshot(v, &snapshot{}))
	return k
}

// newSnapshot returns a snapshot of v that keeps the keys of the previous one as retired or revoked, so
// that the error for an old key differs from that for an unknown key.
func newSnapshot(v Values, previous *snapshot) *snapshot {
	s := &snapshot{Values: v, retired: maps.Clone(previous.retired), revoked: maps.Clone(previous.revoked)}
	if s.retired == nil {
		s.retired = make(map[string]struct{})
		s.revoked = make(map[string]string)
	}
	for _, key := range previous.PeerKeys {
		s.retired[key.ID] = struct{}{}
	}
	for _, id := range v.RetiredPeerKeys {
		s.retired[id] = struct{}{}
	}
	for _, key := range v.PeerKeys {
		delete(s.retired, key.ID)
	}
	for _, m := range []map[string]string{previous.Operators, v.RevokedOperators} {
		for name, sum := range m {
			s.revoked[sum] = name
		}
	}
	for _, sum := range v.Operators {
		delete(s.revoked, sum)
	}
	return s
}

// Replace puts v in force and returns a description of each change. Error: errs.BadSettings, which lists
// every fault on a line of its own; nothing has changed in that case.
func (k *Keyring) Replace(v Values) ([]string, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	previous := k.current.Load()
	if err := checkReplacement(previous, v); err != nil {
		return nil, err
	}
	k.current.Store(newSnapshot(v, previous))
	return describeChanges(&previous.Values, &v), nil
}

// checkReplacement returns an error for values that cannot be put in force in a running process.
func checkReplacement(previous *snapshot, v Values) error {
	var problems []error
	if len(v.PeerKeys) == 0 {
		problems = append(problems, errs.New(errs.BadSettings, "[peer_keys]: no key is left, and no peer could connect; allowed: at least one"))
	}
	for _, key := range v.PeerKeys {
		i := slices.IndexFunc(previous.PeerKeys, func(old settings.PeerKey) bool { return old.ID == key.ID })
		// With one ID for two secrets, no overlap is possible: until all processes have the new secret,
		// those with and those without it reject each other.
		if i >= 0 && string(previous.PeerKeys[i].Secret) != string(key.Secret) {
			problems = append(problems, errs.Newf(errs.BadSettings, "[peer_keys] %s: another secret than before; allowed: a new ID for a new secret", key.ID))
		}
	}
	if (previous.Callers == nil) != (v.Callers == nil) {
		problems = append(problems, errs.New(errs.BadSettings, "[tls] caller_cert: turning TLS on or off needs a restart"))
	}
	if (previous.Admin == nil) != (v.Admin == nil) {
		problems = append(problems, errs.New(errs.BadSettings, "[tls] admin_cert: turning TLS on or off needs a restart"))
	}
	return joinErrors(problems...)
}

// describeChanges returns a description of each difference, without any secret.
func describeChanges(previous, next *Values) []string {
	var list []string
	oldIDs, newIDs := peerIDs(previous.PeerKeys), peerIDs(next.PeerKeys)
	if !slices.Equal(oldIDs, newIDs) {
		list = append(list, fmt.Sprintf("peer keys %s in place of %s", strings.Join(newIDs, ","), strings.Join(oldIDs, ",")))
	}
	if !slices.Equal(previous.RetiredPeerKeys, next.RetiredPeerKeys) {
		list = append(list, "retired peer keys")
	}
	for _, name := range slices.Sorted(maps.Keys(next.Operators)) {
		if previous.Operators[name] != next.Operators[name] {
			list = append(list, "key of operator "+name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(previous.Operators)) {
		if _, ok := next.Operators[name]; !ok {
			list = append(list, "operator "+name+" removed")
		}
	}
	if !maps.Equal(previous.RevokedOperators, next.RevokedOperators) {
		list = append(list, "revoked operators")
	}
	if !equalCertificates(previous.Callers, next.Callers) {
		list = append(list, "certificate of the callers' listener")
	}
	if !equalCertificates(previous.Admin, next.Admin) {
		list = append(list, "certificate of the administration listener")
	}
	return list
}

// peerIDs returns the IDs of keys, in order.
func peerIDs(keys []settings.PeerKey) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = key.ID
	}
	return ids
}

// joinErrors joins errors of type errs.BadSettings into one, one line each; nil if there are none.
func joinErrors(list ...error) error {
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
