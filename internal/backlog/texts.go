package backlog

import (
	"context"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/golang-lru/v2"
	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

const (
	// keptTexts is how many texts a process keeps of those that it has written or read: at 20 KB each
	// some 10 MB. Callers read a text soon after it was listed, and now and then once more.
	keptTexts = 512
	// textSlack is what a text's record has besides the text, at the most: key, lengths, codec.
	textSlack = 1 << 10
)

// texts are the outputs of items that lie in records of their own. Results are read by every process, and
// all that are kept by one that starts; with the texts in them that took seconds on slow links, in which no
// shard could be taken over, and each process held all texts.
type texts struct {
	store platform.Store
	log   hclog.Logger
	kept  *lru.Cache[string, string] // by key
}

func newTexts(store platform.Store, log hclog.Logger) *texts {
	kept, err := lru.New[string, string](keptTexts)
	if err != nil {
		panic(err) // only a size below 1 is refused
	}
	return &texts{store: store, log: log, kept: kept}
}

// write puts texts into the store and returns the offset of each by its key. It repeats a write that failed or was
// not answered: texts of an item are the same whoever writes them. ok is false once ctx has ended.
func (t *texts) write(ctx context.Context, list []backlog.Text) (at map[string]uint64, ok bool) {
	var records []platform.KeyedRecord
	for _, text := range list {
		encoded, err := backlog.EncodeText(text)
		if err != nil {
			t.log.Error("text can't be encoded", "job", text.Job, "index", text.Index, "error", err)
			return nil, false
		}
		records = append(records, encoded...)
	}
	if len(records) == 0 {
		return nil, true
	}
	for tries := 0; ; tries++ {
		done, err := t.store.Append(ctx, platform.Append{Partition: textPartition, Records: records})
		if err == nil {
			return t.keep(list, records, done.First), true
		}
		if tries == 0 {
			t.log.Warn("texts not written yet", "texts", len(list), "error", err)
		}
		if !sleep.For(ctx, writePause) {
			return nil, false
		}
	}
}

// keep remembers texts that were written from an offset on.
func (t *texts) keep(list []backlog.Text, records []platform.KeyedRecord, first uint64) map[string]uint64 {
	for _, text := range list {
		t.kept.Add(backlog.TextKey(text.Job, text.Index), text.Text)
	}
	at := make(map[string]uint64, len(records))
	for i, r := range records {
		at[r.Key] = first + uint64(i)
	}
	return at
}

// fill puts the texts into a page of results. A page ends before the first text that can't be read now; if
// that is its first one, the error is errs.LogDown.
func (t *texts) fill(ctx context.Context, page *backlog.Page) error {
	for i := range page.Results {
		r := &page.Results[i]
		if !r.Apart() {
			continue
		}
		text, err := t.read(ctx, r)
		if err != nil && i == 0 {
			return err
		}
		if err != nil {
			page.Results, page.Next = page.Results[:i], r.Position
			return nil
		}
		r.Text = text
	}
	return nil
}

// read returns a result's text. Errors: errs.LogDown, errs.BadFrame.
func (t *texts) read(ctx context.Context, r *backlog.Result) (string, error) {
	key := backlog.TextKey(r.Job, r.Index)
	if text, ok := t.kept.Get(key); ok {
		return text, nil
	}
	err := t.readAt(ctx, key, r)
	var expired *platform.Expired
	if errors.As(err, &expired) {
		err = t.readNewest(ctx, r.Job)
	}
	if err != nil {
		return "", err
	}
	text, ok := t.kept.Get(key)
	if !ok {
		return "", errs.Newf(errs.LogDown, "the text of job %s, item %s is not in the store's answer", r.Job, r.Item)
	}
	return text, nil
}

// readAt reads the text where it was written.
func (t *texts) readAt(ctx context.Context, key string, r *backlog.Result) error {
	in := backlog.NewTextReader()
	for from := r.TextAt; !t.kept.Contains(key); {
		page, err := t.store.Read(ctx, platform.Read{Partition: textPartition, From: from, MaxBytes: r.Size + textSlack})
		if err != nil || len(page.Records) == 0 {
			return err
		}
		if err := t.take(in, page.Records); err != nil {
			return err
		}
		from += uint64(len(page.Records))
	}
	return nil
}

// readNewest reads all texts of a job, once their records' history has expired.
func (t *texts) readNewest(ctx context.Context, job string) error {
	in := backlog.NewTextReader()
	prefix := backlog.TextPrefix(job)
	var bad error
	_, err := platform.EachNewest(ctx, t.store, textPartition, prefix, func(records []platform.StoredRecord) bool {
		if err := t.take(in, records); err != nil {
			bad = err
		}
		return len(records) > 0 && strings.HasPrefix(records[len(records)-1].Key, prefix)
	})
	if err != nil {
		return err
	}
	return bad
}

// take keeps the texts that records complete.
func (t *texts) take(in *backlog.TextReader, records []platform.StoredRecord) error {
	for _, rec := range records {
		key, text, whole, err := in.Put(rec.KeyedRecord)
		if err != nil {
			return err
		}
		if whole {
			t.kept.Add(key, text)
		}
	}
	return nil
}
