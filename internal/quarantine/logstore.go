package quarantine

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// logStore is a Store that keeps the records in a stream of the log service, one entry per record. The service
// eventually drops old entries; by then, the records in them have expired.
type logStore struct{ log platform.Log }

// NewLogStore returns a Store that keeps the records in the stream structs.QuarantineStream of a log.
func NewLogStore(log platform.Log) Store { return &logStore{log} }

// logRecord is the body of an entry in the stream: a record and its key. An empty Value removes the record
// with the key.
type logRecord struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

const (
	// logPageEntries is the maximum number of entries that one read of the log returns.
	logPageEntries = 256
	// firstOffset is the offset of the first entry of a stream.
	firstOffset = 1
)

// Append implements Store. It ignores the conditions and the producer of a, which no writer of quarantine
// records sets.
func (s *logStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	var appended platform.Appended
	for i, rec := range a.Records {
		body, err := cbor.Marshal(logRecord{Key: rec.Key, Value: rec.Value})
		if err != nil {
			return appended, errs.Newf(errs.Internal, "entry for a quarantine record can't be encoded: %v", err)
		}
		offset, err := s.log.Append(ctx, structs.QuarantineStream, body)
		if err != nil {
			return appended, err
		}
		if i == 0 {
			appended.First = uint64(offset)
		}
		appended.End = uint64(offset) + 1
	}
	return appended, nil
}

// Read implements Store.
func (s *logStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	page, err := s.log.Read(ctx, structs.QuarantineStream, structs.Offset(r.From), logPageEntries, r.Wait)
	if errs.Is(err, errs.LogTrimmed) {
		return platform.Records{}, &platform.Expired{First: uint64(page.First)}
	}
	if err != nil {
		return platform.Records{}, err
	}
	return platform.Records{End: uint64(page.Next), Records: decodeEntries(page.Entries)}, nil
}

// Newest implements Store. It reads the whole stream and returns all records in one page.
func (s *logStore) Newest(ctx context.Context, _ platform.Partition, _ string) (platform.NewestPage, error) {
	newest := make(map[string]platform.StoredRecord)
	for from := structs.Offset(firstOffset); ; {
		page, err := s.log.Read(ctx, structs.QuarantineStream, from, logPageEntries, 0)
		if errs.Is(err, errs.LogTrimmed) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return platform.NewestPage{}, err
		}
		for _, rec := range decodeEntries(page.Entries) {
			newest[rec.Key] = rec
		}
		from += structs.Offset(len(page.Entries))
		if len(page.Entries) == 0 || from >= page.Next {
			return platform.NewestPage{Records: recordsWithValue(newest), End: uint64(from)}, nil
		}
	}
}

// recordsWithValue returns the records that were not removed by an empty value, in no particular order.
func recordsWithValue(newest map[string]platform.StoredRecord) []platform.StoredRecord {
	var list []platform.StoredRecord
	for _, rec := range newest {
		if len(rec.Value) > 0 {
			list = append(list, rec)
		}
	}
	return list
}

// decodeEntries returns the records in entries of the stream. An entry that can't be decoded is returned with
// its body as the value, which the reader of the store then skips as an invalid record.
func decodeEntries(entries []structs.LogEntry) []platform.StoredRecord {
	var list []platform.StoredRecord
	for _, e := range entries {
		var rec logRecord
		if err := cbor.Unmarshal(e.Body, &rec); err != nil || rec.Key == "" {
			rec = logRecord{Key: fmt.Sprintf("entry %d", e.Offset), Value: e.Body}
		}
		list = append(list, platform.StoredRecord{KeyedRecord: platform.KeyedRecord{Key: rec.Key, Value: rec.Value}, Offset: uint64(e.Offset)})
	}
	return list
}
