package follow

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/relay"
	"arbutusramp/core/sleep"
	"arbutusramp/core/structs"
)

const (
	// snapshotCheck is how often an entry looks whether a snapshot is due at most, and
	// checkParts how often within the retention: a record that is not in a snapshot
	// before it expires is lost with all that it configured.
	snapshotCheck = time.Minute
	checkParts    = 4 * snapshotParts
	// snapshotParts of the retention may pass between two snapshots, so that three
	// failed ones in a row still lose nothing.
	snapshotParts = 4
	// snapshotEvery is the number of records between two snapshots at most: it
	// bounds what a new process folds.
	snapshotEvery = 2000
	partSize      = 256 << 10 // bytes
	// lookBack is how many records are read first to find the newest snapshot.
	lookBack = 64
	// defaultRetention counts when the settings say nothing.
	defaultRetention = 24 * time.Hour
	snapshotTries    = 5
)

// snapshot is one whole snapshot in the log.
type snapshot struct {
	state *confstate.State
	atMs  int64
}

// snapshots writes a snapshot when one is due. The entry that is first by
// rendezvous hashing does it; two that both think so do no harm.
func (f *Follower) snapshots(ctx context.Context) {
	for sleep.For(ctx, min(snapshotCheck, f.retention()/checkParts)) {
		if !f.isReady() || !relay.Has(f.self, f.opts.Members(), structs.ConfigSnapshotStream, 1) {
			continue
		}
		if err := f.snapshotIfDue(ctx); err != nil && ctx.Err() == nil {
			f.log.Warn("snapshot of the configuration failed", "error", err)
		}
	}
}

func (f *Follower) snapshotIfDue(ctx context.Context) error {
	newest, err := f.newestSnapshot(ctx)
	if err != nil {
		return err
	}
	s := f.Current()
	if s.Version == 0 || newest != nil && !f.due(newest, s.Version) {
		return nil
	}
	return f.writeSnapshot(ctx, s)
}

func (f *Follower) due(newest *snapshot, v structs.Version) bool {
	age := f.now().Sub(time.UnixMilli(newest.atMs))
	return age >= f.retention()/snapshotParts || v >= newest.state.Version+snapshotEvery
}

func (f *Follower) retention() time.Duration {
	if r := f.opts.Self.LogRetention; r > 0 {
		return r
	}
	return defaultRetention
}

// writeSnapshot appends s in parts. A part whose answer is lost is sent again;
// readers pass over the second copy.
func (f *Follower) writeSnapshot(ctx context.Context, s *confstate.State) error {
	b, err := s.Snapshot()
	if err != nil {
		return err
	}
	parts := (len(b) + partSize - 1) / partSize
	sum := xxhash.Sum64(b)
	for n := range parts {
		body, err := confstate.Encode(structs.ConfigSnapshotPart{
			Version: s.Version,
			Writer:  f.self.ID,
			Part:    n,
			Parts:   parts,
			Sum:     sum,
			Body:    b[n*partSize : min(len(b), (n+1)*partSize)],
			AtMs:    f.now().UnixMilli(),
		})
		if err != nil {
			return err
		}
		if err := f.appendPart(ctx, body); err != nil {
			return err
		}
	}
	f.log.Info("snapshot of the configuration written", "version", s.Version, "bytes", len(b), "parts", parts)
	return nil
}

func (f *Follower) appendPart(ctx context.Context, body []byte) (err error) {
	for range snapshotTries {
		if _, err = f.opts.Log.Append(ctx, structs.ConfigSnapshotStream, body); err == nil {
			return nil
		}
		if !errs.Is(err, errs.AppendUnknown) && !errs.Is(err, errs.LogBusy) {
			return err
		}
		sleep.For(ctx, backoffMin)
	}
	return err
}

// newestSnapshot returns the whole snapshot with the highest version, or nil. It
// reads the end of the stream first, and more of it only when it must.
func (f *Follower) newestSnapshot(ctx context.Context) (*snapshot, error) {
	first, next, err := f.snapshotRange(ctx)
	if err != nil {
		return nil, err
	}
	for back := structs.Offset(lookBack); ; back *= 4 {
		from := first
		if next > first+back {
			from = next - back
		}
		s, err := f.readSnapshots(ctx, from, next)
		if err != nil || s != nil || from == first {
			return s, err
		}
	}
}

func (f *Follower) snapshotRange(ctx context.Context) (first, next structs.Offset, err error) {
	page, err := f.readLog(ctx, structs.ConfigSnapshotStream, 1, 1, 0)
	if err != nil && !errs.Is(err, errs.LogTrimmed) {
		return 0, 0, err
	}
	return page.First, page.Next, nil
}

func (f *Follower) readSnapshots(ctx context.Context, from, next structs.Offset) (*snapshot, error) {
	var a assembler
	for from < next {
		page, err := f.readLog(ctx, structs.ConfigSnapshotStream, from, lookBack, 0)
		if err != nil {
			return nil, err
		}
		if len(page.Entries) == 0 {
			break
		}
		for _, e := range page.Entries {
			a.add(e.Body)
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
	return a.newest, nil
}

// assembler puts snapshots together from parts that may be doubled, mixed with
// those of another writer, or cut off.
type assembler struct {
	open   map[snapshotKey]map[int][]byte
	newest *snapshot
}

type snapshotKey struct {
	version structs.Version
	writer  structs.HostID
	sum     uint64
	parts   int
}

// add takes one record. What can't be read is passed over: a snapshot only saves
// work, and another one follows.
func (a *assembler) add(body []byte) {
	var p structs.ConfigSnapshotPart
	if err := confstate.Decode(body, &p); err != nil || p.Parts <= 0 {
		return
	}
	key := snapshotKey{p.Version, p.Writer, p.Sum, p.Parts}
	if a.open == nil {
		a.open = make(map[snapshotKey]map[int][]byte)
	}
	if a.open[key] == nil {
		a.open[key] = make(map[int][]byte)
	}
	a.open[key][p.Part] = p.Body
	if len(a.open[key]) < p.Parts {
		return
	}
	a.finish(key, p.AtMs)
	delete(a.open, key)
}

func (a *assembler) finish(key snapshotKey, atMs int64) {
	var b []byte
	for n := range key.parts {
		b = append(b, a.open[key][n]...)
	}
	if xxhash.Sum64(b) != key.sum {
		return
	}
	s, err := confstate.Restore(b)
	if err != nil || s.Version != key.version {
		return
	}
	if a.newest == nil || s.Version > a.newest.state.Version || s.Version == a.newest.state.Version && atMs > a.newest.atMs {
		a.newest = &snapshot{state: s, atMs: atMs}
	}
}
