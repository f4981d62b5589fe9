package backlog

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// kindText begins the key of a text that lies apart from its result: t/JOB/INDEX OF THE ITEM/SUM. They are in a partition of
// their own.
const kindText = "t"

// maxTextHeader is the most that the codec puts in front of a text.
const maxTextHeader = 9

// Text is the output of an item that lies apart from its result.
type Text struct {
	Job   string
	Index int // of the item in its job
	Text  string
}

// Sum tells texts apart. It is no protection against anybody who makes texts up.
func Sum(text string) uint64 { return xxhash.Sum64String(text) }

// TextPrefix begins the keys of a job's texts.
func TextPrefix(job string) string { return join(kindText, job) + "/" }

// TextKey is the key of a text.
//
// What goes wrong if it does not depend on the text: whoever has run an item writes its text before it knows whether it still owns the
// item's shard. A process that was frozen may have read a stream that its target ended early, and its text replaces
// that of the result which another owner has listed meanwhile. It is noticed as a position that shows another result
// than before. With the sum in the key, and in the result's record, a result has the one text that was listed.
func TextKey(job string, index int, sum uint64) string {
	return TextPrefix(job) + strconv.Itoa(index) + "/" + strconv.FormatUint(sum, 16)
}

// EncodeText returns the records of a text.
func EncodeText(t Text) ([]platform.KeyedRecord, error) {
	return encode(TextKey(t.Job, t.Index, Sum(t.Text)), t.Text)
}

// Apart says whether the result's text lies apart from it.
func (r *Result) Apart() bool { return r.Size > 0 }

// TextKey is the key of a text that lies apart.
func (r *Result) TextKey() string { return TextKey(r.Job, r.Index, r.Sum) }

// TextRecords is how many records a text that lies apart has.
func (r *Result) TextRecords() int { return (r.Size+maxTextHeader)/chunkBytes + 1 }

// dropText returns records that drop the text of a result.
func (r *Result) dropText() []platform.KeyedRecord {
	if !r.Apart() {
		return nil
	}
	var records []platform.KeyedRecord
	for i := range r.TextRecords() {
		records = append(records, platform.KeyedRecord{Key: chunkKey(r.TextKey(), i)})
	}
	return records
}

// TextReader puts texts together from their records.
type TextReader struct{ chunks assembler }

// NewTextReader returns a reader that has seen nothing.
func NewTextReader() *TextReader {
	return &TextReader{assembler{open: make(map[string][][]byte)}}
}

// Put takes in a record. whole says that key's text is there. Error: errs.BadFrame.
func (t *TextReader) Put(r platform.KeyedRecord) (key, text string, whole bool, err error) {
	key, value, err := t.chunks.put(r)
	if err != nil || value == nil {
		return "", "", false, err
	}
	if err := cbor.Unmarshal(value, &text); err != nil {
		return "", "", false, errs.Newf(errs.BadFrame, "text %s: %v", key, err)
	}
	return key, text, true, nil
}
