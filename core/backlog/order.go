package backlog

import "time"

// lateSpan puts items that can't be in time any more behind all others: longer than any due time lies ahead.
const lateSpan = 24 * time.Hour

// StartKey is an item's place in the order of starts, lowest first: when it is due, in milliseconds since 1970, or lateSpan later if
// it can't be in time any more, since it has to run for left yet.
//
// What goes wrong with due times alone: in an overload the engines work on items that are late anyway, since
// these are due first, until the next ones are late as well. It is noticed as items in time that fall to less than a
// half while the engines are full of items. Gateways take turns in this order, too, so that one whose items can be in time
// goes before one whose can't.
func StartKey(now time.Time, due int64, left time.Duration) int64 {
	if now.UnixMilli()+left.Milliseconds() > due {
		return due + lateSpan.Milliseconds()
	}
	return due
}
