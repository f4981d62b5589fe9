// Package structs holds the typed messages of arbutusramp: identifiers, the
// frames between entry and side, the records in the log service, and the
// intents of operators. It has no behaviour beyond small helpers and does no I/O.
package structs

// Identifiers. All are opaque strings chosen by settings, operators or callers.
type (
	// HostID names one process of the system: an entry or a side.
	HostID string
	// TargetID names a model engine or plain service behind one side.
	TargetID string
	// WorkspaceID names one workspace.
	WorkspaceID string
	// ModelID names a model that callers can ask for.
	ModelID string
	// ServiceID names a plain service; it is the first path element after /svc/.
	ServiceID string
	// FailureDomain names a set of hosts that can fail together.
	FailureDomain string
	// Region names a set of failure domains close to each other.
	Region string
	// RequestID names one request of a caller, for logs and answers.
	RequestID string
	// JobID names one batch job. It is derived from workspace and idempotency
	// key, so that a resent job has the same id through every entry.
	JobID string
)

// Offset is a position in a stream of the log service. The first is 1, so that
// 0 means "nothing".
type Offset uint64

// Epoch is the offset of the claim record that made a host the owner of a shard.
// It is the fencing number of all that the owner does.
type Epoch uint64

// Version is the configuration stream's offset up to which a process has folded.
type Version uint64

// Shard numbers one shard of the batch jobs, from 0.
type Shard uint16

// Class is the priority class of a request.
type Class uint8

const (
	// ClassOnline is for callers that wait.
	ClassOnline Class = iota
	// ClassBatch is for items of jobs.
	ClassBatch
)

// String implements fmt.Stringer.
func (c Class) String() string {
	if c == ClassBatch {
		return "batch"
	}
	return "online"
}
