package backlog

import "time"

// Offsets that are added to the due time in a start key; see StartKey. Each exceeds the largest possible sum of
// the smaller parts.
const (
	// overShareOffset is added to the keys of items whose workspace has used its share of the capacity. No due time
	// lies that far in the future.
	overShareOffset = 30 * 24 * time.Hour
	// rankOffset is added once per rank, so that items of a less urgent rank sort after all items of a more
	// urgent one, also after those with overShareOffset.
	rankOffset = 2 * overShareOffset
	// lateOffset is added to the keys of items that can no longer meet their due time. They sort after all other
	// items, whatever their rank.
	lateOffset = 128 * rankOffset
)

// StartKey returns the sort key of an item in the start order, lowest first: its due time in milliseconds
// since 1970, plus rankOffset per rank (0 is the most urgent), plus lateOffset if the item, which still has to
// run for the time remaining, can no longer meet its due time.
//
// In the order of due times alone, engines under overload run items that are already late, because these are
// due first, until the next ones are late as well. The share of items in time then falls below one half while
// the engines are fully occupied. The same order applies between gateways: a gateway whose items can meet their
// due times starts items before one whose items can't.
//
// For an item whose workspace has used its share of the capacity, overShareOffset is added, so that within a rank the
// items of the other workspaces start first.
//
// Lateness takes precedence over ranks: starting late items before items that can be in time gains nothing.
func StartKey(now time.Time, dueMs int64, remaining time.Duration, rank int, isOverShare bool) int64 {
	key := dueMs + int64(rank)*rankOffset.Milliseconds()
	if now.UnixMilli()+remaining.Milliseconds() > dueMs {
		key += lateOffset.Milliseconds()
	}
	if isOverShare {
		key += overShareOffset.Milliseconds()
	}
	return key
}
