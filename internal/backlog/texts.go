package backlog

import (
	"context"
	"strings"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"arbutusramp/core/backlog"
	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/sleep"
)

// textOverheadBytes bounds the size of a text's records besides the text: keys, lengths and encoding.
const textOverheadBytes = 1 << 10

// textStore writes and reads the item outputs that are stored separately from their results, in a partition
// that no process follows.
//
// If every process read every text, the start of many processes would saturate the store, and none could own
// a shard before it had read all texts. A separately stored text is read only by the process that is asked
// for it.
type textStore struct {
	store platform.Store
	log   hclog.Logger
}

// write writes texts to the store and returns the offset of each by its key. It repeats a write that failed
// or was not answered: the same text has the same key. ok is false if ctx has ended or a text can't be
// encoded.
func (t *textStore) write(ctx context.Context, list []backlog.Text) (offsets map[string]uint64, ok bool) {
	var records []platform.KeyedRecord
	for _, text := range list {
		encoded, err := backlog.EncodeText(text)
		if err != nil {
			t.log.Error("can't encode text", "job", text.Job, "index", text.Index, "error", err)
			return nil, false
		}
		records = append(records, encoded...)
	}
	if len(records) == 0 {
		return nil, true
	}
	for tries := 0; ; tries++ {
		appended, err := t.store.Append(ctx, platform.Append{Partition: textPartition, Records: records})
		if err == nil {
			return recordOffsets(records, appended.First), true
		}
		if tries == 0 {
			t.log.Warn("texts not written yet", "texts", len(list), "error", err)
		}
		if !sleep.For(ctx, writeRetryPause) {
			return nil, false
		}
	}
}

func recordOffsets(records []platform.KeyedRecord, first uint64) map[string]uint64 {
	offsets := make(map[string]uint64, len(records))
	for i, r := range records {
		offsets[r.Key] = first + uint64(i)
	}
	return offsets
}

// fillPage adds the texts to a page of results. The page ends before the first text that can't be read now;
// if that is the text of its first result, the error is errs.LogDown.
func (t *textStore) fillPage(ctx context.Context, page *backlog.Page) error {
	for i := 0; i < len(page.Results); {
		n := adjacentCount(page.Results[i:])
		textByKey, err := t.readAdjacent(ctx, page.Results[i:i+n])
		if filled := setTexts(page.Results[i:i+n], textByKey); filled < n {
			return t.truncatePage(page, i+filled, err)
		}
		i += n
	}
	return nil
}

// adjacentCount returns the number of leading results, at least one, whose texts one call reads: results
// whose texts were written together, or a single result without a separate text.
func adjacentCount(results []backlog.Result) int {
	size := results[0].Size
	for i := 1; i < len(results); i++ {
		before, r := &results[i-1], &results[i]
		size += r.Size
		if !before.Apart() || !r.Apart() || size > readBytes || r.TextAt != before.TextAt+uint64(before.TextRecords()) {
			return i
		}
	}
	return len(results)
}

// setTexts sets the texts of results and returns the number of leading results that have theirs.
func setTexts(results []backlog.Result, texts map[string]string) int {
	for i := range results {
		r := &results[i]
		if !r.Apart() {
			continue
		}
		text, ok := texts[r.TextKey()]
		if !ok {
			return i
		}
		r.Text = text
	}
	return len(results)
}

// truncatePage ends a page before a result.
func (t *textStore) truncatePage(page *backlog.Page, at int, err error) error {
	missing := page.Results[at]
	if err == nil {
		err = errs.New(errs.LogDown, "the store's answer does not contain it")
	}
	t.log.Warn("text not read", "job", missing.Job, "item", missing.Item, "position", missing.Position, "text_at", missing.TextAt, "error", err)
	if at == 0 {
		return errs.Newf(errs.LogDown, "read the text of job %s, item %s: %v", missing.Job, missing.Item, err)
	}
	page.Results, page.Next = page.Results[:at], missing.Position
	return nil
}

// readAdjacent returns the texts of adjacent results by their keys. Errors: those of the store,
// errs.BadFrame.
func (t *textStore) readAdjacent(ctx context.Context, results []backlog.Result) (map[string]string, error) {
	if !results[0].Apart() {
		return nil, nil
	}
	textByKey := make(map[string]string)
	err := t.readAtOffsets(ctx, results, textByKey)
	var expired *platform.Expired
	if errors.As(err, &expired) {
		err = t.readNewest(ctx, results[0].Job, textByKey)
	}
	return textByKey, err
}

// readAtOffsets reads texts at the offsets where they were written.
func (t *textStore) readAtOffsets(ctx context.Context, results []backlog.Result, textByKey map[string]string) error {
	reader := backlog.NewTextReader()
	size, records := 0, 0
	for i := range results {
		size += results[i].Size + textOverheadBytes
		records += results[i].TextRecords()
	}
	first := results[0].TextAt
	for from := first; from < first+uint64(records); {
		page, err := t.store.Read(ctx, platform.Read{Partition: textPartition, From: from, MaxBytes: size})
		if err != nil || len(page.Records) == 0 {
			return err
		}
		if err := collectTexts(reader, page.Records, textByKey); err != nil {
			return err
		}
		from += uint64(len(page.Records))
	}
	return nil
}

// readNewest reads all texts of a job by key, once the history of their partition has expired.
func (t *textStore) readNewest(ctx context.Context, job string, textByKey map[string]string) error {
	reader := backlog.NewTextReader()
	prefix := backlog.TextPrefix(job)
	var decodeErr error
	_, err := platform.EachNewest(ctx, t.store, textPartition, prefix, func(records []platform.StoredRecord) bool {
		decodeErr = collectTexts(reader, records, textByKey)
		return decodeErr == nil && len(records) > 0 && strings.HasPrefix(records[len(records)-1].Key, prefix)
	})
	if err != nil {
		return err
	}
	return decodeErr
}

// collectTexts adds the texts that the records complete.
func collectTexts(reader *backlog.TextReader, records []platform.StoredRecord, textByKey map[string]string) error {
	for _, rec := range records {
		if len(rec.Value) == 0 {
			continue // the job was deleted meanwhile
		}
		key, text, isComplete, err := reader.Put(rec.KeyedRecord)
		if err != nil {
			return err
		}
		if isComplete {
			textByKey[key] = text
		}
	}
	return nil
}
