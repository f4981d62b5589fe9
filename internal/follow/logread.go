package follow

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

// fromLog reads once from the log, waiting up to wait for something new. When
// the records that follow are no longer kept, it goes by the newest snapshot.
func (f *Follower) fromLog(ctx context.Context, wait time.Duration) error {
	have := f.Current().Version
	f.stats.polls.Inc(1)
	sent := f.now()
	page, err := f.readLog(ctx, structs.ConfigStream, structs.Offset(have)+1, pageSize, wait)
	if errs.Is(err, errs.LogTrimmed) {
		return f.fromSnapshots(ctx, page.First)
	}
	if err != nil {
		return err
	}
	if err := f.checkHead(page.Next); err != nil {
		return err
	}
	if err := f.takeRecords(have, page.Entries); err != nil {
		return err
	}
	if len(page.Entries) == 0 {
		// The log answered only after it had waited, so the State was the
		// newest until then.
		sent = sent.Add(wait)
	}
	f.heard(sent)
	return nil
}

// checkHead notices a log that has lost records which this process has folded.
func (f *Follower) checkHead(next structs.Offset) error {
	if next == 0 {
		return nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refuseOlder(structs.Version(next - 1))
}

// readLog bounds a read: a log that accepts and never answers would hold back
// the State for good.
func (f *Follower) readLog(ctx context.Context, stream string, from structs.Offset, most int, wait time.Duration) (platform.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+pollGrace)
	defer cancel()
	return f.opts.Log.Read(ctx, stream, from, most, wait)
}

// fromSnapshots takes the newest snapshot in the log, for which the records
// from first on are still there.
func (f *Follower) fromSnapshots(ctx context.Context, first structs.Offset) error {
	s, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	if s == nil || structs.Offset(s.state.Version)+1 < first {
		f.log.Error("configuration records are gone and no snapshot covers them", "first", first)
		return errors.WithStack(errs.Newf(errs.LogTrimmed, "records before %d are gone and no snapshot covers them", first))
	}
	return f.takeSnapshot(s.state)
}

// ReadBack returns the State once the record at v is folded. It gives the usual way
// a moment and then reads the log itself. Error: errs.LogDown when it
// can't be read, errs.DeadlineExceeded when ctx ends.
func (f *Follower) ReadBack(ctx context.Context, v structs.Version) (err error) {
	usual, cancel := context.WithTimeout(ctx, usualWay)
	defer cancel()
	if _, err := f.WaitFor(usual, v); err == nil {
		return nil
	}
	for ctx.Err() == nil && f.Current().Version < v {
		if err = f.fromLog(ctx, 0); err != nil {
			sleep.For(ctx, backoffMin)
		}
	}
	if f.Current().Version >= v {
		return nil
	}
	if err != nil {
		return err
	}
	return errors.WithStack(errs.Newf(errs.DeadlineExceeded, "version %d was not read back in time", v))
}

// usualWay is how long a record may take to come back over parents.
const usualWay = 300 * time.Millisecond
