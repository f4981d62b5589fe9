package platform

import (
	"context"
	"time"

	"arbutusramp/core/serving"
)

// Directory is where the operator's configuration and the list of targets are read. Offsets are
// those of the store; a process that knows nothing asks with Known 0.
// What can't be understood is no error: it is told beside the rest, and reading goes on behind it.
// Errors: errs.LogDown, errs.LogBusy.
type Directory interface {
	// Config waits up to wait for a change after the state that known describes. Its result
	// may hold no configuration: nothing has changed.
	Config(ctx context.Context, known uint64, wait time.Duration) (ConfigNews, error)
	// Targets waits likewise for changes of the list of targets.
	Targets(ctx context.Context, known uint64, wait time.Duration) (TargetNews, error)
	// NewTargets returns, without waiting, all targets whose entries were written after the state that known describes, which
	// must not be 0. It may be called beside Targets. Error besides the common ones: *Expired.
	NewTargets(ctx context.Context, known uint64) ([]serving.Target, error)
}

// ConfigNews is what has changed of the configuration.
type ConfigNews struct {
	Known  uint64          // to ask with the next time
	Config *serving.Config // nil: no change
	// IsCurrent says that the answer reached the end of what the store holds, so that Config, or the one before without a change, is
	// the newest that was confirmed when the question was asked.
	IsCurrent bool
	// Unusable is why the newest of the texts that can't be understood can't; nil if there was none.
	Unusable error
}

// TargetNews is what has changed of the list of targets.
type TargetNews struct {
	Known uint64
	// Whole says that Present is the whole list, so that targets not in it are gone.
	Whole bool
	// More says that Present is a part of a list that is being read, and that the next part can be asked for at once, with Known 0.
	More    bool
	Present []serving.Target
	Gone    []string // names
	// Replaced are targets whose entries were written and then replaced or removed since the state before.
	Replaced []serving.Target
	// Unusable are the entries that name no target to use, whatever stood under their names before.
	Unusable []UnusableEntry
}

// UnusableEntry is an entry of the list that is no target.
type UnusableEntry struct {
	Name string
	Err  error // errs.BadRequest
}
