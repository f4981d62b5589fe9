package platform

import (
	"context"
	"fmt"
	"time"
)

// Store is the platform's replicated log with a newest-record index: the only place where
// anything outlives a process. A topic has partitions; a partition numbers its records from 0.
// Records of a keyed topic carry a key, and the newest record of each key is kept for ever while
// older ones expire.
//
// Errors of every method: errs.LogDown (nothing was done), errs.LogBusy (over the store's rate,
// nothing was done). Writes also return errs.AppendUnknown: no answer came, so the write may be
// in, or may still be done seconds later.
type Store interface {
	// Append adds a call's records, all or none. Errors besides the common ones: *EndMoved,
	// *Fenced, *OutOfSequence, errs.StoreFull.
	Append(ctx context.Context, a Append) (Appended, error)
	// Read returns records from an offset on and waits for one if there is none yet. An
	// answer without records proves that the partition ended there when the store answered.
	// Error: *Expired.
	Read(ctx context.Context, r Read) (Records, error)
	// Newest returns a page of the newest record of each key, in the order of keys. Pages
	// are not a snapshot: read the log from the first page's End afterwards.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
	// Join makes a process a member of a group or keeps it one.
	Join(ctx context.Context, m Membership) (Assignment, error)
	// Leave gives up a membership at once.
	Leave(ctx context.Context, group, member string) error
}

// Partition names one partition of a topic.
type Partition struct {
	Topic string
	Index int
}

// KeyedRecord is one record of a keyed topic. An empty Value drops the key.
type KeyedRecord struct {
	Key   string
	Value []byte
}

// StoredRecord is a record with its place.
type StoredRecord struct {
	KeyedRecord
	Offset uint64
}

// Producer fences the writes of one writer. The store refuses an epoch below the highest it has
// seen from the same name, and does a repeated sequence number only once.
type Producer struct {
	Name  string
	Epoch uint64
	Seq   uint64
}

// Append is one atomic write.
type Append struct {
	Partition Partition
	Records   []KeyedRecord
	// At, if not nil, is the offset at which the partition must end for the write to be done.
	At *uint64
	// Producer, if not nil, fences the write. Without records it only sets the epoch.
	Producer *Producer
}

// Appended says where a write went.
type Appended struct {
	First uint64 // offset of its first record
	End   uint64 // offset that the next record gets
}

// Read asks for records of one partition.
type Read struct {
	Partition Partition
	From      uint64
	MaxBytes  int           // least one record is returned whatever its size
	Wait      time.Duration // longest wait for a first record
}

// Records is a run of records.
type Records struct {
	End     uint64 // offset that the next record gets
	Records []StoredRecord
}

// NewestPage is a page of the newest records by key.
type NewestPage struct {
	Records []StoredRecord
	More    bool // go on after the last key
	End     uint64
}

// Membership is one process's place in a group among which the partitions of topics are dealt.
type Membership struct {
	Group, Member string
	Topics        []string
	TTL           time.Duration // silence after which the store takes the member for gone
	Generation    uint64        // the newest that this member knows; 0 at first
}

// Assignment is what a member holds.
type Assignment struct {
	Generation uint64 // rises with each change of the group
	Held       []Partition
}

// EndMoved says that a conditional append was not done, since the partition does not end where it
// was expected to.
type EndMoved struct{ End uint64 }

// Error implements error.
func (e *EndMoved) Error() string { return fmt.Sprintf("the partition ends at offset %d", e.End) }

// Fenced says that a writer with a higher epoch has taken over: nothing was written.
type Fenced struct{ Epoch uint64 }

// Error implements error.
func (e *Fenced) Error() string {
	return fmt.Sprintf("epoch %d is fenced by a newer writer", e.Epoch)
}

// OutOfSequence says that a producer skipped or repeated a sequence number: nothing was written.
type OutOfSequence struct{ Expected uint64 }

// Error implements error.
func (e *OutOfSequence) Error() string { return fmt.Sprintf("sequence number %d is due", e.Expected) }

// Expired says that the records asked for are no longer kept.
type Expired struct{ First uint64 }

// Error implements error.
func (e *Expired) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.First)
}
