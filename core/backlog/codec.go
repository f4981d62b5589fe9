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
func EncodeProgress(p *Progress, shard, index int) ([]platform.KeyedRecord, error) {
	return encodeRecords(ProgressPrefix(shard)+joinKey(p.Job, strconv.Itoa(index)), p)
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
	return key + "#" + strconv.Itoa(i)
}

// chunkAssembler reassembles values from their chunks. partial holds the chunks of incomplete values by key and
// index; a chunk that has not been added is nil.
type chunkAssembler struct{ partial map[string][][]byte }

// add adds one record. It returns the key of the value to which the record belongs, and the value if the record
// was its last missing chunk; otherwise a nil value. Errors: errs.BadFrame.
func (a *chunkAssembler) add(r platform.KeyedRecord) (key string, value []byte, err error) {
	if len(r.Value) < chunkHeaderBytes {
		return "", nil, errs.Newf(errs.BadFrame, "record %s of %d bytes is shorter than a chunk header", r.Key, len(r.Value))
	}
	i, n := int(binary.BigEndian.Uint16(r.Value)), int(binary.BigEndian.Uint16(r.Value[2:]))
	part := r.Value[chunkHeaderBytes:]
	if n == 1 {
		return r.Key, part, nil
	}
	if i >= n {
		return "", nil, errs.Newf(errs.BadFrame, "record %s has chunk index %d, but its value has only %d chunks", r.Key, i, n)
	}
	key, _, _ = strings.Cut(r.Key, "#")
	if len(a.partial[key]) != n {
		a.partial[key] = make([][]byte, n)
	}
	a.partial[key][i] = part
	for _, p := range a.partial[key] {
		if p == nil {
			return key, nil, nil
		}
		value = append(value, p...)
	}
	delete(a.partial, key)
	return key, value, nil
}
