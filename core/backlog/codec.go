package backlog

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
)

// Kinds of records: the first part of a record's key.
const (
	kindJob      = "j" // j/JOB: an accepted job
	kindCancel   = "e" // e/JOB: the cancellation of a job by its caller
	kindResult   = "r" // r/JOB/POSITION: the result at a position of the job's result list
	kindProgress = "p" // p/SHARD/JOB/ITEM INDEX: the progress of an item; the keys of one shard are adjacent
)

const (
	// MaxIDBytes is the maximum length of a job id. The id becomes part of record keys, which hold at most 255
	// bytes.
	MaxIDBytes = 128
	// chunkBytes is the largest part of a value that goes into one record. The store accepts records of up to
	// 256 KiB.
	chunkBytes = 200 << 10
	// chunkHeaderBytes is the length of the header of a chunk: the index of the chunk and the number of
	// chunks, two bytes each.
	chunkHeaderBytes = 4
	// chunkCountLimit is the exclusive upper bound of the number of chunks, which a chunk header stores in two
	// bytes.
	chunkCountLimit = 1 << 16
)

// decMode reads the encoded values of records. A text may hold any bytes, since targets send them, also in parts of
// characters; CBOR encodes it as a string whatever it holds.
var decMode = mustDecMode()

func mustDecMode() cbor.DecMode {
	m, err := cbor.DecOptions{UTF8: cbor.UTF8DecodeInvalid}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}

// EncodeJob returns the records that store a job. Errors: errs.BodyTooLarge, errs.Internal.
func EncodeJob(j *Job) ([]platform.KeyedRecord, error) {
	return encodeRecords(joinKey(kindJob, j.ID), j)
}

// EncodeCancel returns the records that store the cancellation of a job. Errors: those of EncodeJob.
func EncodeCancel(job string) ([]platform.KeyedRecord, error) {
	return encodeRecords(joinKey(kindCancel, job), job)
}

// EncodeResult returns the records that store an item's result. Errors: those of EncodeJob.
func EncodeResult(r *Result) ([]platform.KeyedRecord, error) {
	return encodeRecords(joinKey(kindResult, r.Job, strconv.Itoa(r.Position)), r)
}

// EncodeProgress returns the records that store the progress of an item. shard is the shard of its job, index
// the item's index in the job. Errors: those of EncodeJob.
//
// Each write of the progress replaces the records of the one before. If it takes several, a reader may find some of one
// write and some of another: the checksum of the text tells.
func EncodeProgress(p *Progress, shard, index int) ([]platform.KeyedRecord, error) {
	checked := *p
	checked.TextChecksum = 0
	if p.Text != "" {
		checked.TextChecksum = Checksum(p.Text)
	}
	return encodeRecords(ProgressPrefix(shard)+joinKey(p.Job, strconv.Itoa(index)), &checked)
}

// Tombstones returns a tombstone, a record with the same key and no value, for each written record. Writing the
// tombstones deletes the records from the store.
func Tombstones(written []platform.KeyedRecord) []platform.KeyedRecord {
	var records []platform.KeyedRecord
	for _, r := range written {
		records = append(records, platform.KeyedRecord{Key: r.Key})
	}
	return records
}

// ProgressPrefix returns the prefix that exactly the progress keys of a shard have in common. The number of the
// shard is zero-padded to a fixed length because the store returns the newest records in key order.
func ProgressPrefix(shard int) string { return fmt.Sprintf("%s/%06d/", kindProgress, shard) }

// parseProgressKey returns the job id and the item index that a progress key holds. ok is false for other keys.
func parseProgressKey(key string) (job string, index int, ok bool) {
	key, _, _ = strings.Cut(key, "#")
	kind, rest, _ := strings.Cut(key, "/")
	_, rest, hasShard := strings.Cut(rest, "/")
	lastSlash := strings.LastIndexByte(rest, '/') // a job id may contain slashes
	if kind != kindProgress || !hasShard || lastSlash < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(rest[lastSlash+1:])
	return rest[:lastSlash], index, err == nil && index >= 0
}

func joinKey(parts ...string) string { return strings.Join(parts, "/") }

// encodeRecords encodes v as CBOR and splits the encoding into records of a size that the store accepts.
func encodeRecords(key string, v any) ([]platform.KeyedRecord, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "encode record %s: %v", key, err)
	}
	n := (len(data) + chunkBytes - 1) / chunkBytes
	if n >= chunkCountLimit {
		return nil, errs.Newf(errs.BodyTooLarge, "record %s is too large: %d bytes", key, len(data))
	}
	var records []platform.KeyedRecord
	for i := range n {
		part := data[i*chunkBytes : min(len(data), (i+1)*chunkBytes)]
		value := binary.BigEndian.AppendUint16(nil, uint16(i))
		value = binary.BigEndian.AppendUint16(value, uint16(n))
		records = append(records, platform.KeyedRecord{Key: chunkKey(key, i), Value: append(value, part...)})
	}
	return records, nil
}

// chunkKey returns the key of chunk i. The first chunk has the plain key, so the key of a value of one chunk,
// the usual case, has no suffix.
func chunkKey(key string, i int) string {
	if i == 0 {
		return key
	}
	return key + chunkSeparator + strconv.Itoa(i)
}

const (
	chunkSeparator   = "#" // before the index of a chunk in its key
	attemptSeparator = "@" // before the attempt in the key of a chunk
)

// attemptChunkKey returns the key of chunk i of a value that an attempt writes with more than one append. Without an
// attempt it is that of chunkKey.
func attemptChunkKey(key, attempt string, i int) string {
	if attempt == "" {
		return chunkKey(key, i)
	}
	return key + chunkSeparator + strconv.Itoa(i) + attemptSeparator + attempt
}

// WithAttempt returns the records of a value with keys of their own for one attempt to write it. Records that do not fit
// into one append need that: each attempt may encode the value in another way, and an append that was not answered may be
// done after another attempt has succeeded. Chunks of two attempts are never combined.
func WithAttempt(records []platform.KeyedRecord, attempt string) []platform.KeyedRecord {
	if len(records) == 0 {
		return nil
	}
	tagged := make([]platform.KeyedRecord, len(records))
	for i, r := range records {
		tagged[i] = platform.KeyedRecord{Key: attemptChunkKey(records[0].Key, attempt, i), Value: r.Value}
	}
	return tagged
}

// splitAttemptKey splits the key of a chunk that WithAttempt has made; ok is false for any other key.
func splitAttemptKey(recordKey string) (key, attempt string, ok bool) {
	at := strings.LastIndex(recordKey, chunkSeparator)
	if at < 0 {
		return "", "", false
	}
	index, attempt, ok := strings.Cut(recordKey[at+len(chunkSeparator):], attemptSeparator)
	if _, err := strconv.Atoi(index); err != nil || !ok {
		return "", "", false
	}
	return recordKey[:at], attempt, true
}

// splitChunkKey returns the key of the value to which chunk i belongs, and the attempt that has written it, if it has one.
func splitChunkKey(recordKey string, i int) (key, attempt string) {
	if key, attempt, ok := splitAttemptKey(recordKey); ok {
		return key, attempt
	}
	if i == 0 {
		return recordKey, ""
	}
	key, _, _ = strings.Cut(recordKey, chunkSeparator)
	return key, ""
}

// valueID identifies a value by its key and the attempt that writes it.
type valueID struct{ key, attempt string }

// assembled is a value that was put together from its chunks.
type assembled struct {
	valueID
	chunks int // number of chunks
	data   []byte
}

// chunkAssembler reassembles values from their chunks. partial holds the chunks of incomplete values by index; a chunk that
// has not been added is nil.
type chunkAssembler struct {
	partial map[valueID][][]byte
	bytes   int64 // of all chunks in partial
}

// drop removes the chunks of an incomplete value.
func (a *chunkAssembler) drop(id valueID) {
	for _, part := range a.partial[id] {
		a.bytes -= int64(len(part))
	}
	delete(a.partial, id)
}

func newChunkAssembler() chunkAssembler {
	return chunkAssembler{partial: make(map[valueID][][]byte)}
}

// add adds one record. It returns the value to which the record belongs, whose data is nil unless the record was its last
// missing chunk. Errors: errs.BadFrame.
func (a *chunkAssembler) add(r platform.KeyedRecord) (assembled, error) {
	i, n, err := chunkHeader(r)
	if err != nil {
		return assembled{}, err
	}
	part := r.Value[chunkHeaderBytes:]
	if n == 1 {
		return assembled{valueID: valueID{key: r.Key}, chunks: 1, data: part}, nil
	}
	v := assembled{chunks: n}
	v.key, v.attempt = splitChunkKey(r.Key, i)
	if len(a.partial[v.valueID]) != n {
		a.drop(v.valueID)
		a.partial[v.valueID] = make([][]byte, n)
	}
	a.bytes += int64(len(part) - len(a.partial[v.valueID][i]))
	a.partial[v.valueID][i] = part
	for _, p := range a.partial[v.valueID] {
		if p == nil {
			v.data = nil
			return v, nil
		}
		v.data = append(v.data, p...)
	}
	a.drop(v.valueID)
	return v, nil
}

// chunkHeader returns the index of the chunk in a record, and the number of chunks of its value. Errors: errs.BadFrame.
func chunkHeader(r platform.KeyedRecord) (i, n int, err error) {
	if len(r.Value) < chunkHeaderBytes {
		return 0, 0, errs.Newf(errs.BadFrame, "record %s of %d bytes is shorter than a chunk header", r.Key, len(r.Value))
	}
	i, n = int(binary.BigEndian.Uint16(r.Value)), int(binary.BigEndian.Uint16(r.Value[2:]))
	if n > 1 && i >= n {
		return 0, 0, errs.Newf(errs.BadFrame, "record %s has chunk index %d, but its value has only %d chunks", r.Key, i, n)
	}
	return i, n, nil
}
