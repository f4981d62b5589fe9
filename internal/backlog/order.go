package backlog

import (
	"cmp"
	"slices"
	"time"
)

// lateSpan puts items that can't be in time any more behind all others: longer than any due time lies ahead.
const lateSpan = 24 * time.Hour

// ranked is a task with its place in the order of starts.
type ranked struct {
	task *task
	key  int64 // when it is due, in milliseconds since 1970; lateSpan later if it can't be in time
}

// rank orders tasks: those that can still be in time by their due times, then the others by theirs.
//
// What goes wrong with due times alone: in an overload the engines work on items that are late anyway, since
// these are due first, until the next ones are late as well. It is noticed as items in time that fall to less than a
// half while the engines are full of items. Gateways take turns in this order, too, so that one whose items can be in time
// goes before one whose can't.
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
	due := t.due()
	if now.UnixMilli()+d.m.pace.Left(t.job.Route, t.item().Tokens, t.made()).Milliseconds() > due {
		due += lateSpan.Milliseconds()
	}
	return due
}
