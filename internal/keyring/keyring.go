// Package keyring holds the keys of peers and operators and the TLS certificates that a running process uses.
// The process replaces all of them at once, without a restart, when an operator has changed the settings. Open
// connections stay open: a key is checked only when a session opens or a call arrives, and a certificate is
// used when a TLS handshake starts.
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

// Values are the keys and certificates as the settings of a process specify them.
type Values struct {
	// PeerKeys are the keys by which the processes of this system authenticate each other; the first is used
	// for new sessions.
	PeerKeys []settings.PeerKey
	// RetiredPeerKeys are the IDs of peer keys that were valid once and no longer are.
	RetiredPeerKeys []string
	// OperatorKeySums maps the name of an operator to the SHA-256 sum, in hex, of the operator's valid key.
	OperatorKeySums map[string]string
	// RevokedOperatorKeySums maps the name of an operator to the SHA-256 sum, in hex, of a key of the operator
	// that was valid once and no longer is.
	RevokedOperatorKeySums map[string]string
	// CallerCertificate and AdminCertificate are the certificates of the listener for callers and of the
	// administration listener; nil means plain HTTP.
	CallerCertificate, AdminCertificate *tls.Certificate
}

// EntryValues returns the values that the settings of an entry process specify. It reads the certificate files.
// Error: errs.BadSettings, whose text names each certificate that cannot be read on a line of its own.
func EntryValues(s settings.Entry) (Values, error) {
	callers, callersErr := readCertificate(s.CallerCert, s.CallerKey)
	admin, adminErr := readCertificate(s.AdminCert, s.AdminKey)
	v := Values{
		PeerKeys:               s.PeerKeys,
		RetiredPeerKeys:        s.RetiredPeerKeys,
		OperatorKeySums:        s.OperatorKeys,
		RevokedOperatorKeySums: s.RevokedOperatorKeys,
		CallerCertificate:      callers,
		AdminCertificate:       admin,
	}
	return v, joinErrors(callersErr, adminErr)
}

// SideValues returns the values that the settings of a side process specify: it has only peer keys.
func SideValues(s settings.Side) Values {
	return Values{PeerKeys: s.PeerKeys, RetiredPeerKeys: s.RetiredPeerKeys}
}

// Keyring holds the keys and certificates in force. It is safe for concurrent use.
type Keyring struct {
	mu      sync.Mutex // serializes Replace
	current atomic.Pointer[snapshot]
}

// snapshot holds the values in force and the keys that are no longer valid. It is immutable once stored.
type snapshot struct {
	Values
	// retired holds the IDs of peer keys that are no longer valid: those that the settings list, and those
	// that Replace has removed since the start of the process.
	retired map[string]struct{}
	// revoked maps the SHA-256 sum, in hex, of each operator's key that is no longer valid to the name of the
	// operator.
	revoked map[string]string
}

// New returns a Keyring in which v is in force.
func New(v Values) *Keyring {
	k := &Keyring{}
	k.current.Store(newSnapshot(v, &snapshot{}))
	return k
}

// newSnapshot returns a snapshot of v. Keys of the previous snapshot that are not in v become retired or
// revoked, so that the error for an old key differs from the error for an unknown key.
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
	for _, keySums := range []map[string]string{previous.OperatorKeySums, v.RevokedOperatorKeySums} {
		for name, sum := range keySums {
			s.revoked[sum] = name
		}
	}
	for _, sum := range v.OperatorKeySums {
		delete(s.revoked, sum)
	}
	return s
}

// Replace puts v in force and returns a text without secrets for each change. Error: errs.BadSettings, whose
// text describes each fault of v on a line of its own; in that case no value is replaced.
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

// checkReplacement returns an error of type errs.BadSettings if v cannot replace the values in force without a
// restart or without disconnecting peers; nil if it can.
func checkReplacement(previous *snapshot, v Values) error {
	var problems []error
	if len(v.PeerKeys) == 0 {
		problems = append(problems, errs.New(errs.BadSettings, "[peer_keys]: no key is left, so no peer could connect; allowed: at least one key"))
	}
	for _, key := range v.PeerKeys {
		i := slices.IndexFunc(previous.PeerKeys, func(old settings.PeerKey) bool { return old.ID == key.ID })
		// Processes with different secrets under one ID reject each other. With a new ID for the new secret,
		// both keys can be valid until all processes have the new one.
		if i >= 0 && string(previous.PeerKeys[i].Secret) != string(key.Secret) {
			problems = append(problems, errs.Newf(errs.BadSettings, "[peer_keys] %s: another secret than before; allowed: a new ID for a new secret", key.ID))
		}
	}
	if (previous.CallerCertificate == nil) != (v.CallerCertificate == nil) {
		problems = append(problems, errs.New(errs.BadSettings, "[tls] caller_cert: turning TLS on or off needs a restart"))
	}
	if (previous.AdminCertificate == nil) != (v.AdminCertificate == nil) {
		problems = append(problems, errs.New(errs.BadSettings, "[tls] admin_cert: turning TLS on or off needs a restart"))
	}
	return joinErrors(problems...)
}

// describeChanges returns a text for each difference between two sets of values. The texts contain no secrets.
func describeChanges(previous, next *Values) []string {
	var changes []string
	oldIDs, newIDs := peerIDs(previous.PeerKeys), peerIDs(next.PeerKeys)
	if !slices.Equal(oldIDs, newIDs) {
		changes = append(changes, fmt.Sprintf("peer keys %s in place of %s", strings.Join(newIDs, ","), strings.Join(oldIDs, ",")))
	}
	if !slices.Equal(previous.RetiredPeerKeys, next.RetiredPeerKeys) {
		changes = append(changes, "retired peer keys")
	}
	for _, name := range slices.Sorted(maps.Keys(next.OperatorKeySums)) {
		if previous.OperatorKeySums[name] != next.OperatorKeySums[name] {
			changes = append(changes, "key of operator "+name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(previous.OperatorKeySums)) {
		if _, ok := next.OperatorKeySums[name]; !ok {
			changes = append(changes, "operator "+name+" removed")
		}
	}
	if !maps.Equal(previous.RevokedOperatorKeySums, next.RevokedOperatorKeySums) {
		changes = append(changes, "revoked operators")
	}
	if !equalCertificates(previous.CallerCertificate, next.CallerCertificate) {
		changes = append(changes, "certificate of the callers' listener")
	}
	if !equalCertificates(previous.AdminCertificate, next.AdminCertificate) {
		changes = append(changes, "certificate of the administration listener")
	}
	return changes
}

// peerIDs returns the IDs of peer keys, in the order of the keys.
func peerIDs(keys []settings.PeerKey) []string {
	ids := make([]string, len(keys))
	for i, key := range keys {
		ids[i] = key.ID
	}
	return ids
}

// joinErrors returns one error of type errs.BadSettings with the detail of each error on a line of its own; nil
// if all errors are nil.
func joinErrors(problems ...error) error {
	var lines []string
	for _, err := range problems {
		if err != nil {
			lines = append(lines, errs.As(err).Detail)
		}
	}
	if len(lines) == 0 {
		return nil
	}
	return errs.New(errs.BadSettings, strings.Join(lines, "\n"))
}
