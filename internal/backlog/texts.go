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

// textOverheadBytes is the maximum size of the records of a text, without the text: keys, lengths and encoding.
const textOverheadBytes = 1 << 10

// textStore writes and reads texts, the outputs of items, that are stored separately from their results. They
// are in a partition of their own, from which a process reads only the texts that its callers ask for.
//
// If every process read every text, the start of many processes would saturate the store, and none could own
// a shard before it had read all texts.
type textStore struct {
	store platform.Store
	log   hclog.Logger
}

// write writes texts to the store, with as many appends as their size needs, and returns the offset of each by its key. It
// repeats an append that failed or was not answered; that is safe, because the same text has the same key. ok is false if
// ctx has ended or a text can't be encoded.
func (t *textStore) write(ctx context.Context, texts []backlog.Text) (offsets map[string]uint64, ok bool) {
	var records []platform.KeyedRecord
	for _, text := range texts {
		encoded, err := backlog.EncodeText(text)
		if err != nil {
			t.log.Error("can't encode text", "job", text.Job, "index", text.Index, "error", err)
			return nil, false
		}
		records = append(records, encoded...)
	}
	offsets = make(map[string]uint64, len(records))
	for tries := 0; len(records) > 0; {
		n := recordsPerAppend(records)
		appended, err := t.store.Append(ctx, platform.Append{Partition: textPartition, Records: records[:n]})
		if err == nil {
			for i, r := range records[:n] {
				offsets[r.Key] = appended.First + uint64(i)
			}
			records = records[n:]
			continue
		}
		if tries++; tries == 1 {
			t.log.Warn("texts not written yet", "texts", len(texts), "error", err)
		}
		if !sleep.For(ctx, writeRetryPause) {
			return nil, false
		}
	}
	return offsets, true
}

// fillPage reads the separately stored texts of a page's results and adds them. It shortens the page to end
// before the first result whose text can't be read now. If that is the first result of the page, it returns
// errs.LogDown.
func (t *textStore) fillPage(ctx context.Context, page *backlog.ResultPage) error {
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

// adjacentCount returns the number of leading results, at least one, whose texts one call reads, because they
// follow each other in the store and have at most readBytes. It is 1 if the first result has no separate
// text.
func adjacentCount(results []backlog.Result) int {
	size := results[0].TextSize
	for i := 1; i < len(results); i++ {
		previous, r := &results[i-1], &results[i]
		size += r.TextSize
		if !previous.HasSeparateText() || !r.HasSeparateText() || size > readBytes || r.TextOffset != previous.TextOffset+uint64(previous.TextRecordCount()) {
			return i
		}
	}
	return len(results)
}

// setTexts sets the separately stored texts of results. It stops before the first result whose text is
// missing from textByKey, and returns the number of results before that one.
func setTexts(results []backlog.Result, textByKey map[string]string) int {
	for i := range results {
		r := &results[i]
		if !r.HasSeparateText() {
			continue
		}
		text, ok := textByKey[r.TextKey()]
		if !ok {
			return i
		}
		r.Text = text
	}
	return len(results)
}

// truncatePage shortens a page to the results before index, whose text could not be read because of err, or
// is missing from the store's answer if err is nil. It returns errs.LogDown if no result is left.
func (t *textStore) truncatePage(page *backlog.ResultPage, index int, err error) error {
	missing := page.Results[index]
	if err == nil {
		err = errs.New(errs.LogDown, "the store's answer does not contain the text")
	}
	t.log.Warn("text not read", "job", missing.Job, "item", missing.Item, "position", missing.Position, "text_at", missing.TextOffset, "error", err)
	if index == 0 {
		return errs.Newf(errs.LogDown, "can't read the text of job %s, item %s: %v", missing.Job, missing.Item, err)
	}
	page.Results, page.Next = page.Results[:index], missing.Position
	return nil
}

// readAdjacent reads the texts of results whose texts follow each other in the store, and returns them by
// key. It may return some of them with an error. Errors: those of the store, errs.BadFrame.
func (t *textStore) readAdjacent(ctx context.Context, results []backlog.Result) (map[string]string, error) {
	if !results[0].HasSeparateText() {
		return nil, nil
	}
	textByKey := make(map[string]string)
	err := t.readAtOffsets(ctx, results, textByKey)
	var expired *platform.Expired
	if errors.As(err, &expired) || err == nil && len(textByKey) < len(results) {
		// Between the appends of a text others may have written, so that its records do not follow each other.
		err = t.readNewest(ctx, results[0].Job, textByKey)
	}
	return textByKey, err
}

// readAtOffsets reads the texts of adjacent results at the offsets at which they were written, and adds them to
// textByKey. Errors: those of readAdjacent; *platform.Expired if the store no longer keeps these offsets.
func (t *textStore) readAtOffsets(ctx context.Context, results []backlog.Result, textByKey map[string]string) error {
	reader := backlog.NewTextReader()
	size, records := 0, 0
	for i := range results {
		size += results[i].TextSize + textOverheadBytes
		records += results[i].TextRecordCount()
	}
	first := results[0].TextOffset
	for from := first; from < first+uint64(records); {
		page, err := t.store.Read(ctx, platform.Read{Partition: textPartition, From: from, MaxBytes: min(size, readBytes)})
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

// readNewest reads all separately stored texts of a job by key and adds them to textByKey. It is used for
// texts whose offsets have expired. Errors: those of readAdjacent.
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

// collectTexts passes records to reader and adds each text that they complete to textByKey. Errors:
// errs.BadFrame.
func collectTexts(reader *backlog.TextReader, records []platform.StoredRecord, textByKey map[string]string) error {
	for _, rec := range records {
		if len(rec.Value) == 0 {
			continue // the job was deleted meanwhile
		}
		key, text, isComplete, err := reader.Add(rec.KeyedRecord)
		if err != nil {
			return err
		}
		if isComplete {
			textByKey[key] = text
		}
	}
	return nil
}
