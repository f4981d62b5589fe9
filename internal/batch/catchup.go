package batch

import (
	"context"

	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// catchUp waits until all that was in the stream at its call is folded. An owner that was
// replaced without knowing it, because it was paused or cut off from the log service, would else
// say that a job is not there which its successor has accepted, or show results of an
// ended job as if they were all. In an outage that the other entries see too, what is folded can be
// shown, but sure is false: a successor may have accepted jobs before the outage began. Error:
// errs.NotOwner when this entry is not the owner any more, or can't know.
func (s *shard) catchUp(ctx context.Context) (sure bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	s.mu.Lock()
	from := s.state.Through + 1
	s.mu.Unlock()
	page, err := s.m.o.Log.Read(ctx, s.stream, from, 1, 0)
	s.m.health.note(s.m.now(), err)
	if err != nil {
		if s.m.health.down() && s.m.outage.Load() {
			return false, nil
		}
		return false, notOwner()
	}
	return true, s.awaitFolded(ctx, page.Next)
}

// unsure is the answer of an owner that can't read the log to a question that only the whole log
// answers: which jobs there are not.
func unsure() *errs.Error {
	return errs.New(errs.LogDown, "the log can't be read, so what is not known here may exist").WithRetry(retryMoved)
}

// awaitFolded waits until every offset before next is folded. Error: errs.NotOwner.
func (s *shard) awaitFolded(ctx context.Context, next structs.Offset) error {
	for {
		s.mu.Lock()
		folded, owner, changed := s.state.Through+1 >= next, s.epoch != 0, s.changed
		s.mu.Unlock()
		if !owner {
			return notOwner()
		}
		if folded {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return errs.New(errs.NotOwner, "this entry is behind the log").WithRetry(retryMoved)
		}
	}
}
