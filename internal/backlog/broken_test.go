package backlog

import (
	"context"
	"testing"
	"testing/synctest"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// brokenSeeds is how many random runs a broken build gets to be found out in.
const brokenSeeds = 60

// A random run that no fault of the product can make fail proves nothing. Each broken build leaves out
// one thing that the promises rest on; the runs that the whole product passes must find it out.
func TestRandomTroubleFindsBrokenBuilds(t *testing.T) {
	for name, build := range map[string]func(platform.Store) platform.Store{
		"results without an epoch":       func(s platform.Store) platform.Store { return unfenced{s} },
		"takeovers that read nothing":    func(s platform.Store) platform.Store { return blind{s} },
		"a lost answer means not done":   func(s platform.Store) platform.Store { return certain{s} },
		"ends are acknowledged unstored": func(s platform.Store) platform.Store { return endless{s} },
	} {
		t.Run(name, func(t *testing.T) {
			for seed := uint64(1); seed <= brokenSeeds; seed++ {
				if n := violations(t, seed, build); n > 0 {
					t.Logf("seed %d: %d violations", seed, n)
					return
				}
			}
			t.Errorf("%d random runs did not find it out", brokenSeeds)
		})
	}
}

// violations is how much goes wrong in a random run of a build.
func violations(t *testing.T, seed uint64, build func(platform.Store) platform.Store) (n int) {
	synctest.Test(t, func(t *testing.T) {
		w := newTrouble(t, seed)
		w.lateWrites = true
		w.build = build
		w.wrong = func(string, ...any) { n++ }
		w.run()
	})
	return n
}

// unfenced writes results whether or not a newer owner exists.
type unfenced struct{ platform.Store }

func (s unfenced) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	a.Producer = nil
	return s.Store.Append(ctx, a)
}

// blind takes the log of results for empty at first.
type blind struct{ platform.Store }

func (s blind) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	page, err := s.Store.Newest(ctx, p, after)
	if p == resultPartition {
		page.Records, page.More = nil, false
	}
	return page, err
}

// certain takes writes without an answer for writes that were not done.
type certain struct{ platform.Store }

func (s certain) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	done, err := s.Store.Append(ctx, a)
	if errs.Is(err, errs.AppendUnknown) {
		err = errs.New(errs.LogDown, "taken for not done")
	}
	return done, err
}

// endless acknowledges ends of jobs that the store has not taken.
type endless struct{ platform.Store }

func (s endless) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	if a.Partition == jobPartition && a.At == nil {
		return platform.Appended{}, nil
	}
	return s.Store.Append(ctx, a)
}
