package backlog

import "time"

// Offsets that make up a start key. Each exceeds the largest possible sum of the smaller parts.
const (
	// rankOffset sorts items of less urgent routes after those of more urgent ones. It is longer than any due
	// time lies in the future.
	rankOffset = 30 * 24 * time.Hour
	// lateOffset sorts items that can no longer meet their due time after all others, whatever their rank.
	lateOffset = 128 * rankOffset
)

// StartKey returns the sort key of an item in the start order, lowest first: its due time in milliseconds
// since 1970, plus rankOffset per rank, plus lateOffset if the item can no longer meet its due time because
// it still has to run for the remaining time.
//
// With due times alone, engines under overload run items that are already late, because these are due first,
// until the next ones are late as well. The share of items in time then falls below one half while the
// engines are fully occupied. Gateways take turns in this order, too: a gateway whose items can meet their
// due times goes before one whose items can't.
//
// Lateness takes precedence over ranks: starting late work before work that can be in time gains nothing.
func StartKey(now time.Time, dueMs int64, remaining time.Duration, rank int) int64 {
	key := dueMs + int64(rank)*rankOffset.Milliseconds()
	if now.UnixMilli()+remaining.Milliseconds() > dueMs {
		key += lateOffset.Milliseconds()
	}
	return key
}
