package backlog

import (
	"context"
	"testing"
	"testing/synctest"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// faultyBuildSeeds is the number of random runs within which a faulty build must be detected.
const faultyBuildSeeds = 60

// Random runs that never fail prove nothing. Each faulty build omits one mechanism that the guarantees depend
// on; the runs that the unmodified code passes must detect it.
func TestRandomFaultsDetectFaultyBuilds(t *testing.T) {
	for name, build := range map[string]func(platform.Store) platform.Store{
		"results without an epoch":                      func(s platform.Store) platform.Store { return unfencedStore{s} },
		"takeovers that read no results":                func(s platform.Store) platform.Store { return emptyResultsStore{s} },
		"a lost answer is treated as a failed write":    func(s platform.Store) platform.Store { return unknownAsFailedStore{s} },
		"cancellations are acknowledged but not stored": func(s platform.Store) platform.Store { return unstoredCancelStore{s} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= faultyBuildSeeds; seed++ {
				if n := countViolations(t, seed, build); n > 0 {
					t.Logf("seed %d: %d violations", seed, n)
					return
				}
			}
			t.Errorf("%d random runs did not detect it", faultyBuildSeeds)
		})
	}
}

// countViolations returns the number of violations in a random run of a build.
func countViolations(t *testing.T, seed uint64, wrapStore func(platform.Store) platform.Store) (n int) {
	synctest.Test(t, func(t *testing.T) {
		w := newFaultRun(t, seed)
		w.hasLateWrites = true
		w.wrapStore = wrapStore
		w.reportFailure = func(string, ...any) { n++ }
		w.run()
	})
	return n
}

// unfencedStore writes results whether or not a newer owner exists.
type unfencedStore struct{ platform.Store }

func (s unfencedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	a.Producer = nil
	return s.Store.Append(ctx, a)
}

// emptyResultsStore returns no results for the first load of their partition.
type emptyResultsStore struct{ platform.Store }

func (s emptyResultsStore) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	if p == resultPartition {
		page.Records, page.More = nil, false
	}
	return page, err
}

// unknownAsFailedStore reports writes without an answer as not done.
type unknownAsFailedStore struct{ platform.Store }

func (s unknownAsFailedStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	done, err := s.Store.Append(ctx, a)
	if errs.Is(err, errs.AppendUnknown) {
		err = errs.New(errs.LogDown, "treated as not done")
	}
	return done, err
}

// unstoredCancelStore acknowledges cancellations of jobs that the store has not received.
type unstoredCancelStore struct{ platform.Store }

func (s unstoredCancelStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	if a.Partition == jobPartition && a.At == nil {
		return platform.Appended{}, nil
	}
	return s.Store.Append(ctx, a)
}
