package backlog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// kindText is the prefix of the key of a text that is stored separately from its result: t/JOB/ITEM
// INDEX/CHECKSUM. These texts are in a partition of their own.
const kindText = "t"

// maxTextHeaderBytes is the longest header that the codec writes before a text.
const maxTextHeaderBytes = 9

// Text is an item's output that is stored separately from its result.
type Text struct {
	Job   string
	Index int // of the item in its job
	Text  string
}

// Sum returns a checksum that distinguishes texts. It does not protect against texts that are crafted to
// collide.
func Sum(text string) uint64 { return xxhash.Sum64String(text) }

// TextPrefix is the common prefix of the keys of a job's texts.
func TextPrefix(job string) string { return joinKey(kindText, job) + "/" }

// TextKey returns the key of a text.
//
// The key depends on the text because an owner writes the text of an item before it can tell whether it still
// owns the item's shard. A process that was frozen may have read a stream that its target ended early; under
// a key without the checksum its text would replace that of the result which another owner has stored
// meanwhile, and the position would show a different result than before. With the checksum in the key and in
// the result's record, a result always refers to the text with which it was stored.
func TextKey(job string, index int, sum uint64) string {
	return TextPrefix(job) + strconv.Itoa(index) + "/" + strconv.FormatUint(sum, 16)
}

// EncodeText returns the records of a text.
func EncodeText(t Text) ([]platform.KeyedRecord, error) {
	return encodeRecords(TextKey(t.Job, t.Index, Sum(t.Text)), t.Text)
}

// Apart reports whether the result's text is stored separately from it.
func (r *Result) Apart() bool { return r.Size > 0 }

// TextKey returns the key of the result's separately stored text.
func (r *Result) TextKey() string { return TextKey(r.Job, r.Index, r.Sum) }

// TextRecords returns the number of records of the result's separately stored text.
func (r *Result) TextRecords() int { return (r.Size+maxTextHeaderBytes)/chunkBytes + 1 }

// textTombstones returns the tombstones that delete the text of a result.
func (r *Result) textTombstones() []platform.KeyedRecord {
	if !r.Apart() {
		return nil
	}
	var records []platform.KeyedRecord
	for i := range r.TextRecords() {
		records = append(records, platform.KeyedRecord{Key: chunkKey(r.TextKey(), i)})
	}
	return records
}

// TextReader reassembles texts from their records.
type TextReader struct{ chunks chunkAssembler }

// NewTextReader returns a TextReader without records.
func NewTextReader() *TextReader {
	return &TextReader{chunkAssembler{partial: make(map[string][][]byte)}}
}

// Put takes one record. isComplete reports that the record completed the text of the returned key. Errors:
// errs.BadFrame.
func (t *TextReader) Put(r platform.KeyedRecord) (key, text string, isComplete bool, err error) {
	key, value, err := t.chunks.add(r)
	if err != nil || value == nil {
		return "", "", false, err
	}
	if err := cbor.Unmarshal(value, &text); err != nil {
		return "", "", false, errs.Newf(errs.BadFrame, "decode text %s: %v", key, err)
	}
	return key, text, true, nil
}
