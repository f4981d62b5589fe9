package quarantine

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
)

// Message is a record as gateways send it to each other and keep it in the store. Times are in milliseconds
// since 1970.
type Message struct {
	Content []byte         `cbor:"1,keyasint"`
	Crashes []CrashMessage `cbor:"2,keyasint,omitempty"`
	Cleared int64          `cbor:"3,keyasint,omitempty"` // 0: never
	Seen    int64          `cbor:"4,keyasint,omitempty"` // 0: never
	Tried   int64          `cbor:"5,keyasint,omitempty"` // 0: never
	IsScope bool           `cbor:"6,keyasint,omitempty"`
	// Details holds the remaining fields of each crash, in the order of Crashes. It is empty if the sender's
	// version has no such fields.
	Details []CrashDetails `cbor:"7,keyasint,omitempty"`
}

// CrashMessage is the encoded form of a Crash. Its fields are encoded as an array, so their order is fixed.
type CrashMessage struct {
	_      struct{} `cbor:",toarray"`
	Target uint64
	Began  int64
	At     int64
}

// CrashDetails holds the fields of a Crash that CrashMessage lacks. Its fields are encoded as an array, so
// their order is fixed.
type CrashDetails struct {
	_         struct{} `cbor:",toarray"`
	Start     uint64
	Preceding int
	By        uint64
}

// Message returns r in the form in which it is sent and stored.
func (r Record) Message() Message {
	m := Message{Content: r.Content[:], Cleared: toMillis(r.Cleared), Seen: toMillis(r.Seen), Tried: toMillis(r.Tried), IsScope: r.IsScope}
	for _, e := range r.Crashes {
		m.Crashes = append(m.Crashes, CrashMessage{Target: e.Target, Began: toMillis(e.Began), At: toMillis(e.At)})
		m.Details = append(m.Details, CrashDetails{Start: e.Start, Preceding: e.Preceding, By: e.By})
	}
	return m
}

// Record decodes the message. Error: errs.BadFrame.
func (m Message) Record() (Record, error) {
	var r Record
	if len(m.Content) != len(r.Content) {
		return r, errs.Newf(errs.BadFrame, "fingerprint has %d bytes, want %d", len(m.Content), len(r.Content))
	}
	copy(r.Content[:], m.Content)
	if len(m.Details) > 0 && len(m.Details) != len(m.Crashes) {
		return r, errs.Newf(errs.BadFrame, "details for %d crashes, want %d", len(m.Details), len(m.Crashes))
	}
	r.IsScope = m.IsScope
	r.Cleared, r.Seen, r.Tried = fromMillis(m.Cleared), fromMillis(m.Seen), fromMillis(m.Tried)
	for i, e := range m.Crashes {
		crash := Crash{Target: e.Target, Began: fromMillis(e.Began), At: fromMillis(e.At)}
		if len(m.Details) > 0 {
			d := m.Details[i]
			crash.Start, crash.Preceding, crash.By = d.Start, d.Preceding, d.By
		}
		r.addCrash(crash)
	}
	return r, nil
}

// Encode returns r as it is kept in the store. Error: errs.Internal.
func (r Record) Encode() ([]byte, error) {
	data, err := cbor.Marshal(r.Message())
	if err != nil {
		return nil, errs.Newf(errs.Internal, "record can't be encoded: %v", err)
	}
	return data, nil
}

// Decode decodes a record that Encode has encoded. Error: errs.BadFrame.
func Decode(data []byte) (Record, error) {
	var m Message
	if err := cbor.Unmarshal(data, &m); err != nil {
		return Record{}, errs.Newf(errs.BadFrame, "record can't be decoded: %v", err)
	}
	return m.Record()
}

func toMillis(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMilli()
}

func fromMillis(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}
