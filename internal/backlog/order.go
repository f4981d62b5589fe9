package backlog

import (
	"cmp"
	"slices"
	"time"

	"arbutusramp/core/backlog"
	"arbutusramp/core/policy"
)

// orderedTask is a task with its sort key in the start order.
type orderedTask struct {
	task *task
	key  int64 // see backlog.StartKey
}

// sortTasks returns the tasks in the order in which they should start. Tasks with the same key are ordered by
// job id and then by index.
func (sc *scheduler) sortTasks(tasks []*task, now time.Time) []orderedTask {
	overShare := sc.overShareTasks(tasks)
	list := make([]orderedTask, len(tasks))
	for i, t := range tasks {
		list[i] = orderedTask{t, sc.startKey(t, now, overShare[t])}
	}
	slices.SortFunc(list, func(a, b orderedTask) int {
		return cmp.Or(cmp.Compare(a.key, b.key), cmp.Compare(a.task.job.ID, b.task.job.ID), cmp.Compare(a.task.index, b.task.index))
	})
	return list
}

// startKey returns a task's sort key in the start order, lowest first. With policy.FeasibleFirst switched off,
// the key depends only on the due time, the rank and isOverShare, which is set if the task's workspace has used its
// share of the capacity.
func (sc *scheduler) startKey(t *task, now time.Time, isOverShare bool) int64 {
	if !sc.m.opts.Disabled.IsEnabled(policy.FeasibleFirst) {
		return backlog.StartKey(time.UnixMilli(0), t.due(), 0, t.job.Rank, isOverShare)
	}
	return backlog.StartKey(now, t.due(), sc.m.runTimes.Remaining(t.job.Route, t.item().Tokens, t.eventCount()), t.job.Rank, isOverShare)
}
