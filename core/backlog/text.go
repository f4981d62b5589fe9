package backlog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// kindText is the kind of the records of a text that is stored separately from its result, in a partition of
// its own. Their key is t/JOB/ITEM INDEX/CHECKSUM.
const kindText = "t"

// maxTextHeaderBytes is the maximum length of the header that CBOR puts before a text.
const maxTextHeaderBytes = 9

// Text is an item's output that is stored separately from its result.
type Text struct {
	Job   string // id of the job
	Index int    // of the item in its job
	Text  string // the item's whole output
}

// Checksum returns the checksum of a text that becomes part of its key. It does not protect against texts that are
// crafted to collide.
func Checksum(text string) uint64 { return xxhash.Sum64String(text) }

// TextPrefix returns the prefix that the keys of all separately stored texts of a job have in common.
func TextPrefix(job string) string { return joinKey(kindText, job) + "/" }

// TextKey returns the key of the separately stored text of a job's item. checksum is that of the text.
//
// The key contains the checksum because a process writes the text of an item before it can tell whether it
// still owns the item's shard. If the process was frozen, the stream that it read may have ended early, and the
// next owner may have stored a result with the whole text meanwhile. Under a key without the checksum, the
// shorter text would replace that of the stored result, and a caller would read a different result than before.
// With the checksum in the key and in the result's record, a result always refers to its own text.
func TextKey(job string, index int, checksum uint64) string {
	return TextPrefix(job) + strconv.Itoa(index) + "/" + strconv.FormatUint(checksum, 16)
}

// EncodeText returns the records that store a text separately from its result. Errors: those of EncodeJob.
func EncodeText(t Text) ([]platform.KeyedRecord, error) {
	return encodeRecords(TextKey(t.Job, t.Index, Checksum(t.Text)), t.Text)
}

// HasSeparateText reports whether the text is stored separately from the result.
func (r *Result) HasSeparateText() bool { return r.TextSize > 0 }

// TextKey returns the key of the result's separately stored text.
func (r *Result) TextKey() string { return TextKey(r.Job, r.Index, r.TextChecksum) }

// TextRecordCount returns the number of records of the result's separately stored text. It is one too large for
// some sizes close to a multiple of chunkBytes.
func (r *Result) TextRecordCount() int { return (r.TextSize+maxTextHeaderBytes)/chunkBytes + 1 }

// textTombstones returns the tombstones that delete the result's separately stored text; nil without one.
func (r *Result) textTombstones() []platform.KeyedRecord {
	if !r.HasSeparateText() {
		return nil
	}
	var records []platform.KeyedRecord
	for i := range r.TextRecordCount() {
		records = append(records, platform.KeyedRecord{Key: chunkKey(r.TextKey(), i)})
	}
	return records
}

// TextReader reassembles texts from their records.
type TextReader struct{ chunks chunkAssembler }

// NewTextReader returns a TextReader to which no record has been added.
func NewTextReader() *TextReader {
	return &TextReader{newChunkAssembler()}
}

// Add adds one record. If that was the last missing record of a text, it returns the text, its key and true in
// isComplete. Errors: errs.BadFrame for a malformed record.
func (t *TextReader) Add(r platform.KeyedRecord) (key, text string, isComplete bool, err error) {
	value, err := t.chunks.add(r)
	if err != nil || value.data == nil {
		return "", "", false, err
	}
	if err := decMode.Unmarshal(value.data, &text); err != nil {
		return "", "", false, errs.Newf(errs.BadFrame, "decode text %s: %v", value.key, err)
	}
	return value.key, text, true, nil
}
