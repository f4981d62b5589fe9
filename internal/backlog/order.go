package backlog

import (
	"cmp"
	"slices"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/policy"
)

// ranked is a task with its place in the order of starts.
type ranked struct {
	task *task
	key  int64 // see backlog.StartKey
}

// rank orders tasks as they should start; those of one job with the same key as they stand there.
func (d *scheduler) rank(tasks []*task, now time.Time) []ranked {
	list := make([]ranked, len(tasks))
	for i, t := range tasks {
		list[i] = ranked{t, d.key(t, now)}
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.task.job.ID, b.task.job.ID), cmp.Compare(a.task.index, b.task.index))
	})
	return list
}

func (d *scheduler) key(t *task, now time.Time) int64 {
	if !d.m.opts.Off.Allows(policy.InTimeFirst) {
		return backlog.StartKey(time.UnixMilli(0), t.due(), 0, t.job.Rank)
	}
	return backlog.StartKey(now, t.due(), d.m.pace.Left(t.job.Route, t.item().Tokens, t.made()), t.job.Rank)
}
