package quarantine

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
)

// Message is the form of a Record that is encoded as CBOR. Gateways send it to each other and keep it in the store.
// Times are in milliseconds since the start of 1970 (UTC).
type Message struct {
	Content   []byte         `cbor:"1,keyasint"`           // fingerprint of the content or scope
	Crashes   []CrashMessage `cbor:"2,keyasint,omitempty"` // newest first
	ClearedAt int64          `cbor:"3,keyasint,omitempty"` // Record.ClearedAt; 0: never
	LastSeen  int64          `cbor:"4,keyasint,omitempty"` // Record.LastSeen; 0: never
	LastTrial int64          `cbor:"5,keyasint,omitempty"` // Record.LastTrial; 0: never
	IsScope   bool           `cbor:"6,keyasint,omitempty"` // Content identifies a scope
	// Details holds the fields of each crash that CrashMessage lacks, in the order of Crashes. It is empty if
	// the software version of the sender does not have these fields.
	Details []CrashDetails `cbor:"7,keyasint,omitempty"`
	Kind    ScopeKind      `cbor:"8,keyasint,omitempty"` // Record.Kind
}

// CrashMessage is the encoded form of the fields of a Crash that every software version sends. The fields are
// encoded as an array, so their order is fixed.
type CrashMessage struct {
	_      struct{} `cbor:",toarray"`
	Target uint64   // digest of the target's id
	Began  int64    // when the run began
	At     int64    // when the target broke off the run
}

// CrashDetails is the encoded form of the fields of a Crash that CrashMessage lacks. The fields are encoded as
// an array, so their order is fixed.
type CrashDetails struct {
	_         struct{} `cbor:",toarray"`
	Start     uint64   // digest of the id of the target's process; 0 if unknown
	Preceding int      // Crash.PrecedingCrashes: crashes known when the run began
	By        uint64   // digest of the content that was run; 0 except in the record of a scope
}

// Message returns the encoded form of r.
func (r Record) Message() Message {
	m := Message{Content: r.Content[:], ClearedAt: toMillis(r.ClearedAt), LastSeen: toMillis(r.LastSeen), LastTrial: toMillis(r.LastTrial), IsScope: r.IsScope, Kind: r.Kind}
	for _, c := range r.Crashes {
		m.Crashes = append(m.Crashes, CrashMessage{Target: c.TargetDigest, Began: toMillis(c.BeganAt), At: toMillis(c.BrokenAt)})
		m.Details = append(m.Details, CrashDetails{Start: c.StartDigest, Preceding: c.PrecedingCrashes, By: c.ContentDigest})
	}
	return m
}

// Record returns the record of which m is the encoded form. Error: errs.BadFrame.
func (m Message) Record() (Record, error) {
	var r Record
	if len(m.Content) != len(r.Content) {
		return r, errs.Newf(errs.BadFrame, "fingerprint has %d bytes, want %d", len(m.Content), len(r.Content))
	}
	copy(r.Content[:], m.Content)
	if len(m.Details) > 0 && len(m.Details) != len(m.Crashes) {
		return r, errs.Newf(errs.BadFrame, "message has details of %d crashes, want %d", len(m.Details), len(m.Crashes))
	}
	r.IsScope, r.Kind = m.IsScope, m.Kind
	r.ClearedAt, r.LastSeen, r.LastTrial = fromMillis(m.ClearedAt), fromMillis(m.LastSeen), fromMillis(m.LastTrial)
	for i, c := range m.Crashes {
		crash := Crash{TargetDigest: c.Target, BeganAt: fromMillis(c.Began), BrokenAt: fromMillis(c.At)}
		if len(m.Details) > 0 {
			details := m.Details[i]
			crash.StartDigest, crash.PrecedingCrashes, crash.ContentDigest = details.Start, details.Preceding, details.By
		}
		r.addCrash(crash)
	}
	return r, nil
}

// Encode returns r as a CBOR message for the store. Error: errs.Internal.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r.Message())
	if err != nil {
		return nil, errs.Newf(errs.Internal, "quarantine record can't be encoded: %v", err)
	}
	return data, nil
}

// Decode returns the record that Encode has encoded as data. Error: errs.BadFrame.
func Decode(data []byte) (Record, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Record{}, errs.Newf(errs.BadFrame, "quarantine record can't be decoded: %v", err)
	}
	return m.Record()
}

// toMillis returns a time as milliseconds since the start of 1970 (UTC), and 0 for the zero time.
func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

// fromMillis is the inverse of toMillis.
func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
