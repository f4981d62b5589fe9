package settings

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"arbutusramp/core/structs"
)

// row is one key of the settings. The tables of rows drive parsing, checking and
// docs/SETTINGS.md.
type row[T any] struct {
	section, key string
	unit         string
	def          string // "" without required: the key is optional and unset
	required     bool
	field        field[T]
	doc          string
	// live keys are read again at SIGHUP; all others need a restart.
	live bool
}

// group is a section whose keys the operator names, such as [peer_keys].
type group[T any] struct {
	section  string
	unit     string
	required bool // at least one key
	allowed  string
	doc      string
	add      func(t *T, key, value string) error
}

// table is everything that one kind of process can be told.
type table[T any] struct {
	role   string
	rows   []row[T]
	groups []group[T]
	// check looks at keys together and returns faults without file and line.
	check func(t *T) []Fault
}

// Bounds of a secret between own processes, bytes.
const (
	minSecretLen = 16
	maxSecretLen = 64
)

func hostRows[T any](role string, get func(*T) *Identity) []row[T] {
	return []row[T]{
		{section: "host", key: "role", unit: "word", required: true,
			field: oneOf(func(*T, string) {}, role),
			doc:   "what this file is for; a file for another kind of process is refused"},
		{section: "host", key: "id", unit: "name", required: true,
			field: name(func(t *T) *structs.HostID { return &get(t).ID }),
			doc:   "name of this process, unique in the system and the same as in the host list"},
		{section: "host", key: "domain", unit: "name", required: true,
			field: name(func(t *T) *structs.FailureDomain { return &get(t).Domain }),
			doc:   "failure domain that the host stands in"},
		{section: "host", key: "region", unit: "name",
			field: name(func(t *T) *structs.Region { return &get(t).Region }),
			doc:   "region of the failure domain"},
		{section: "host", key: "memory", unit: "MB", def: "0",
			field: integer(0, 1<<30, func(t *T) *int { return &get(t).MemoryMB }),
			doc:   "memory of the host that the process may use, in units of 10^6 bytes, from which follows what clients may hold; 0 takes what the system reports, at most 1000"},
		{section: "host", key: "descriptors", unit: "number", def: "0",
			field: integer(0, 1<<30, func(t *T) *int { return &get(t).Descriptors }),
			doc:   "descriptors that the process may have open, from which follows how many connections clients may have; 0 takes the limit that the system reports, at most 16384"},
	}
}

func logRows[T any](get func(*T) *Logs) []row[T] {
	return []row[T]{
		{section: "log", key: "level", unit: "word", def: "info", live: true,
			field: word(func(t *T) *string { return &get(t).Level }, "trace", "debug", "info", "warn", "error"),
			doc:   "least level that is written"},
		{section: "log", key: "json", unit: "boolean", def: "false",
			field: boolean(func(t *T) *bool { return &get(t).JSON }),
			doc:   "one JSON object a line in place of text"},
	}
}

// retiredPeerRows name peer keys that were valid once, so that a process that still uses one is
// told so also after this one was restarted.
func retiredPeerRows[T any](get func(*T) *[]string) []row[T] {
	return []row[T]{
		{section: "peers", key: "retired_keys", unit: "names", live: true,
			field: names(get),
			doc:   "IDs of peer keys that were valid once; a process that still uses one is told that its key is an old one"},
	}
}

func peerKeyGroup[T any](get func(*T) *[]PeerKey) group[T] {
	return group[T]{
		section: "peer_keys", unit: "hexadecimal", required: true,
		allowed: fmt.Sprintf("ID = secret of %d to %d bytes in hexadecimal", minSecretLen, maxSecretLen),
		doc:     "keys between the system's own processes; the first is used for new sessions, every one is accepted, so that a key is replaced by adding the new one everywhere first",
		add: func(t *T, key, value string) error {
			secret, err := hexBytes(value, minSecretLen, maxSecretLen)
			if err != nil {
				return err
			}
			*get(t) = append(*get(t), PeerKey{ID: key, Secret: secret})
			return nil
		},
	}
}

// checkPeerKeys finds keys that are valid and retired at once: which of the two the operator
// meant can't be told.
func checkPeerKeys(keys []PeerKey, retired []string) []Fault {
	var faults []Fault
	for _, k := range keys {
		if slices.Contains(retired, k.ID) {
			faults = append(faults, Fault{Section: "peers", Key: "retired_keys", Problem: fmt.Sprintf("%q is in [peer_keys] too", k.ID), Allowed: "a key in one of the two"})
		}
	}
	return faults
}

func operatorGroup() group[Entry] {
	return operatorKeys("operators", "who may use the administration API; without any, nobody may",
		func(e *Entry) *map[string]string { return &e.OperatorKeys })
}

func revokedOperatorGroup() group[Entry] {
	return operatorKeys("revoked_operators", "operators' keys that were valid once; whoever sends one is told that it is an old key",
		func(e *Entry) *map[string]string { return &e.RevokedOperatorKeys })
}

func operatorKeys(section, doc string, get func(*Entry) *map[string]string) group[Entry] {
	return group[Entry]{
		section: section, unit: "hexadecimal",
		allowed: "NAME = SHA-256 sum of the operator's key in hexadecimal (64 digits)",
		doc:     doc,
		add: func(e *Entry, key, value string) error {
			return addOperator(get(e), key, value)
		},
	}
}

func addOperator(keys *map[string]string, name, sum string) error {
	if _, err := hexBytes(sum, sha256.Size, sha256.Size); err != nil {
		return err
	}
	if *keys == nil {
		*keys = make(map[string]string)
	}
	(*keys)[name] = strings.ToLower(sum)
	return nil
}
