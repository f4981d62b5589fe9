// Package jobs is the state of a shard of batch jobs: the deterministic fold of
// the shard's stream in the log service, and the decisions that its owner takes
// on it (which items a side gets, what an outcome means, what to append again).
// It has no clock, socket or goroutine; `now` is an argument.
//
// A State holds a bitmap per unfinished segment and the offsets at which results
// stand, not an object per item. Bodies and results stay in the log.
package jobs
