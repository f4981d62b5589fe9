package keyedlog

import (
	"context"
	"sync"
	"time"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// Faults are what goes wrong between one caller and the store.
type Faults struct {
	// Refuse answers every call that nothing was done.
	Refuse bool
	// Silent does nothing and never answers.
	Silent bool
	// LoseAnswers does writes without answering them.
	LoseAnswers bool
	// Late does writes only after this time, without answering them; 0 does them at once.
	Late time.Duration
	// Delay is what every call takes.
	Delay time.Duration
}

// View is one caller's connection to the store. It implements platform.Store.
type View struct {
	store *Store

	mu     sync.Mutex
	faults Faults
}

// View returns a new caller's view.
func (s *Store) View() *View { return &View{store: s} }

// Sibling returns another caller's view of the same store, without faults.
func (v *View) Sibling() *View { return v.store.View() }

// Set puts faults in place of those before.
func (v *View) Set(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.faults = f
}

// silence is how long a caller waits for an answer that does not come.
const silence = 1200 * time.Millisecond

// pass lets a call through to the store, or fails it.
func (v *View) pass(ctx context.Context) (Faults, error) {
	v.mu.Lock()
	f := v.faults
	v.mu.Unlock()
	if f.Silent {
		sleep.For(ctx, silence)
		return f, errs.New(errs.LogDown, "no answer")
	}
	if !sleep.For(ctx, f.Delay) {
		return f, errs.New(errs.LogDown, "no answer in time")
	}
	if f.Refuse {
		return f, errs.New(errs.LogDown, "refused")
	}
	return f, nil
}

// Append implements platform.Store.
func (v *View) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	f, err := v.pass(ctx)
	if err != nil {
		return platform.Appended{}, err
	}
	if f.Late > 0 {
		sleep.AfterFunc(f.Late, func() { _, _ = v.store.append(a) }) // nobody waits for its outcome
		return platform.Appended{}, lost(ctx)
	}
	done, err := v.store.append(a)
	if f.LoseAnswers {
		return platform.Appended{}, lost(ctx)
	}
	return done, err
}

func lost(ctx context.Context) error {
	sleep.For(ctx, silence)
	return errs.New(errs.AppendUnknown, "no answer")
}

// Read implements platform.Store.
func (v *View) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	if _, err := v.pass(ctx); err != nil {
		return platform.Records{}, err
	}
	until := time.Now().Add(r.Wait)
	for {
		page, moved, err := v.store.read(r)
		left := time.Until(until)
		if err != nil {
			return page, err
		}
		if len(page.Records) > 0 || left <= 0 {
			return page, v.send(ctx, page.Records)
		}
		t := sleep.NewTimer(left)
		select {
		case <-moved:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return platform.Records{}, errs.New(errs.LogDown, "no answer in time")
		}
		t.Stop()
	}
}

// Newest implements platform.Store.
func (v *View) Newest(ctx context.Context, p platform.Partition, after string) (platform.NewestPage, error) {
	if _, err := v.pass(ctx); err != nil {
		return platform.NewestPage{}, err
	}
	page := v.store.newest(p, after)
	return page, v.send(ctx, page.Records)
}

// send takes the time that the store needs to send records. A caller that gives up has used up its share all
// the same: the store goes on sending.
func (v *View) send(ctx context.Context, records []platform.StoredRecord) error {
	wait, ok := v.store.reserve(time.Now(), records)
	if !ok {
		return errs.New(errs.LogDown, "too many reads wait")
	}
	if !sleep.For(ctx, wait) {
		return errs.New(errs.LogDown, "no answer in time")
	}
	return nil
}

// Join implements platform.Store.
func (v *View) Join(ctx context.Context, m platform.Membership) (platform.Assignment, error) {
	if _, err := v.pass(ctx); err != nil {
		return platform.Assignment{}, err
	}
	return v.store.join(m), nil
}

// Leave implements platform.Store.
func (v *View) Leave(ctx context.Context, group, name string) error {
	if _, err := v.pass(ctx); err != nil {
		return err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	if g, ok := v.store.groups[group]; ok {
		g.drop(name)
	}
	return nil
}

var _ platform.Store = (*View)(nil)
