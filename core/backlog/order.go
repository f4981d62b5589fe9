package backlog

import "time"

// The parts of a place in the order of starts. Each is larger than all that comes after it may add up to.
const (
	// rankSpan puts items of less urgent routes behind those of more urgent ones: longer than any due time lies ahead.
	rankSpan = 30 * 24 * time.Hour
	// lateSpan puts items that can't be in time any more behind all others, of whatever rank.
	lateSpan = 128 * rankSpan
)

// StartKey is an item's place in the order of starts, lowest first: when it is due, in milliseconds since 1970, with rankSpan for
// each rank, and lateSpan later if it can't be in time any more, since it has to run for left yet.
//
// What goes wrong with due times alone: in an overload the engines work on items that are late anyway, since
// these are due first, until the next ones are late as well. It is noticed as items in time that fall to less than a
// half while the engines are full of items. Gateways take turns in this order, too, so that one whose items can be in time
// goes before one whose can't.
//
// Why ranks come second: work that is late anyway gains nothing by going before work that can be in time.
func StartKey(now time.Time, due int64, left time.Duration, rank int) int64 {
	key := due + int64(rank)*rankSpan.Milliseconds()
	if now.UnixMilli()+left.Milliseconds() > due {
		key += lateSpan.Milliseconds()
	}
	return key
}
