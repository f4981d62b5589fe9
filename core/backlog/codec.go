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
	kindEnd      = "e" // e/JOB: its caller wants no more of it
	kindResult   = "r" // r/JOB/POSITION
	kindProgress = "p" // p/SHARD/JOB/INDEX OF THE ITEM, so that a shard's stand together
)

const (
	// MaxIDBytes bounds the id of a job, which becomes part of keys of at most 255 bytes.
	MaxIDBytes = 128
	// chunkBytes is how much of a value goes into one record. The store takes records of
	// up to 256 KiB.
	chunkBytes = 200 << 10
	// chunkHeader is the number of this chunk and of all, two bytes each.
	chunkHeader = 4
	maxChunks   = 1 << 16
)

// EncodeJob returns the records of a job.
func EncodeJob(j *Job) ([]platform.KeyedRecord, error) { return encode(join(kindJob, j.ID), j) }

// EncodeEnd returns the records of a job's end.
func EncodeEnd(job string) ([]platform.KeyedRecord, error) { return encode(join(kindEnd, job), job) }

// EncodeResult returns the records of a result.
func EncodeResult(r *Result) ([]platform.KeyedRecord, error) {
	return encode(join(kindResult, r.Job, strconv.Itoa(r.Position)), r)
}

// EncodeProgress returns the records of the progress of the job's item with that index.
func EncodeProgress(p *Progress, shard, index int) ([]platform.KeyedRecord, error) {
	return encode(ProgressPrefix(shard)+join(p.Job, strconv.Itoa(index)), p)
}

// Drop returns records that drop those that were written.
func Drop(written []platform.KeyedRecord) []platform.KeyedRecord {
	var records []platform.KeyedRecord
	for _, r := range written {
		records = append(records, platform.KeyedRecord{Key: r.Key})
	}
	return records
}

// ProgressPrefix begins the keys of a shard's progress, and of nothing else. Numbers have a fixed
// length: the newest records are read in the order of keys.
func ProgressPrefix(shard int) string { return fmt.Sprintf("%s/%06d/", kindProgress, shard) }

// progressKey reads the job and the item's index out of a key of progress.
func progressKey(key string) (job string, index int, ok bool) {
	key, _, _ = strings.Cut(key, "#")
	kind, rest, _ := strings.Cut(key, "/")
	_, rest, shard := strings.Cut(rest, "/")
	at := strings.LastIndexByte(rest, '/') // a job's id may hold slashes
	if kind != kindProgress || !shard || at < 0 {
		return "", 0, false
	}
	index, err := strconv.Atoi(rest[at+1:])
	return rest[:at], index, err == nil && index >= 0
}

func join(parts ...string) string { return strings.Join(parts, "/") }

// encode splits a value into records that the store takes.
func encode(key string, v any) ([]platform.KeyedRecord, error) {
	data, err := cbor.Marshal(v)
	if err != nil {
		return nil, errs.Newf(errs.Internal, "record %s: %v", key, err)
	}
	n := (len(data) + chunkBytes - 1) / chunkBytes
	if n >= maxChunks {
		return nil, errs.Newf(errs.BodyTooLarge, "record %s of %d bytes", key, len(data))
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

// chunkKey is the key of chunk i. The first has the plain key, so that most records do.
func chunkKey(key string, i int) string {
	if i == 0 {
		return key
	}
	return key + "#" + strconv.Itoa(i)
}

// assembler puts the chunks of values together again.
type assembler struct{ open map[string][][]byte }

// put takes in a record. It returns the whole value once its last missing chunk is there.
func (a *assembler) put(r platform.KeyedRecord) (key string, value []byte, err error) {
	if len(r.Value) < chunkHeader {
		return "", nil, errs.Newf(errs.BadFrame, "record %s has %d bytes", r.Key, len(r.Value))
	}
	i, n := int(binary.BigEndian.Uint16(r.Value)), int(binary.BigEndian.Uint16(r.Value[2:]))
	part := r.Value[chunkHeader:]
	if n == 1 {
		return r.Key, part, nil
	}
	if i >= n {
		return "", nil, errs.Newf(errs.BadFrame, "record %s is chunk %d of %d", r.Key, i, n)
	}
	key, _, _ = strings.Cut(r.Key, "#")
	if len(a.open[key]) != n {
		a.open[key] = make([][]byte, n)
	}
	a.open[key][i] = part
	for _, p := range a.open[key] {
		if p == nil {
			return key, nil, nil
		}
		value = append(value, p...)
	}
	delete(a.open, key)
	return key, value, nil
}
