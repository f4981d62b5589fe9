package backlog

import (
	"context"
	"testing"
	"testing/synctest"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// faultyBuildSeeds is the maximum number of random runs after which a faulty build must have been detected.
const faultyBuildSeeds = 60

// The random runs must detect violated guarantees: a check that can't fail proves nothing. Each faulty build
// omits one mechanism that the guarantees depend on, and at least one random run must report a violation.
func TestRandomFaultsDetectFaultyBuilds(t *testing.T) {
	for name, wrapStore := range map[string]func(platform.Store) platform.Store{
		"results are written without an epoch":          func(s platform.Store) platform.Store { return unfencedStore{s} },
		"takeovers read no results":                     func(s platform.Store) platform.Store { return emptyResultsStore{s} },
		"a lost answer is treated as a failed write":    func(s platform.Store) platform.Store { return unknownAsFailedStore{s} },
		"cancellations are acknowledged but not stored": func(s platform.Store) platform.Store { return unstoredCancelStore{s} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= faultyBuildSeeds; seed++ {
				if n := countViolations(t, seed, wrapStore); n > 0 {
					t.Logf("seed %d: %d violations", seed, n)
					return
				}
			}
			t.Errorf("%d random runs reported no violation by the faulty build, want at least 1", faultyBuildSeeds)
		})
	}
}

// countViolations returns the number of failures that a random run reports if wrapStore wraps the store of each
// process.
func countViolations(t *testing.T, seed uint64, wrapStore func(platform.Store) platform.Store) (violations int) {
	synctest.Test(t, func(t *testing.T) {
		fr := newFaultRun(t, seed)
		fr.hasLateWrites = true
		fr.wrapStore = wrapStore
		fr.reportFailure = func(string, ...any) { violations++ }
		fr.run()
	})
	return violations
}

// unfencedStore writes results without the epoch of their owner, so that the store does not reject replaced
// owners.
type unfencedStore struct{ platform.Store }

func (s unfencedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	a.Producer = nil
	return s.Store.Append(ctx, a)
}

// emptyResultsStore returns no results to a process that loads their partition.
type emptyResultsStore struct{ platform.Store }

func (s emptyResultsStore) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	if p == resultPartition {
		page.Records, page.More = nil, false
	}
	return page, err
}

// unknownAsFailedStore reports writes whose answer was lost as failed, though they may have succeeded.
type unknownAsFailedStore struct{ platform.Store }

func (s unknownAsFailedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	appended, err := s.Store.Append(ctx, a)
	if errs.Is(err, errs.AppendUnknown) {
		err = errs.New(errs.LogDown, "the lost answer is treated as a failed write")
	}
	return appended, err
}

// unstoredCancelStore acknowledges cancellations of jobs without storing them.
type unstoredCancelStore struct{ platform.Store }

func (s unstoredCancelStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	if a.Partition == jobPartition && a.At == nil {
		return platform.Appended{}, nil
	}
	return s.Store.Append(ctx, a)
}
