package quarantine

import (
	"context"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"arbutusramp/core/errs"
	"arbutusramp/core/platform"
	"arbutusramp/core/structs"
)

// logStore keeps the records in a stream of the log service, one entry each. Entries that the service drops in the end are older than
// any record that counts.
type logStore struct{ log platform.Log }

// NewLogStore returns a store over a log.
func NewLogStore(log platform.Log) Store { return &logStore{log} }

// logRecord is a record in the stream.
type logRecord struct {
	Key   string `cbor:"1,keyasint"`
	Value []byte `cbor:"2,keyasint,omitempty"`
}

const (
	// logPage is how many entries one read takes.
	logPage = 256
	// firstOffset is that of a stream's first entry.
	firstOffset = 1
)

// Append implements Store. Conditions and producers are not supported: no writer of these records needs any.
func (s *logStore) Append(ctx context.Context, a platform.Append) (platform.Appended, error) {
	var done platform.Appended
	for i, rec := range a.Records {
		body, err := cbor.Marshal(logRecord{Key: rec.Key, Value: rec.Value})
		if err != nil {
			return done, errs.Newf(errs.Internal, "record can't be encoded: %v", err)
		}
		at, err := s.log.Append(ctx, structs.QuarantineStream, body)
		if err != nil {
			return done, err
		}
		if i == 0 {
			done.First = uint64(at)
		}
		done.End = uint64(at) + 1
	}
	return done, nil
}

// Read implements Store.
func (s *logStore) Read(ctx context.Context, r platform.Read) (platform.Records, error) {
	page, err := s.log.Read(ctx, structs.QuarantineStream, structs.Offset(r.From), logPage, r.Wait)
	if errs.Is(err, errs.LogTrimmed) {
		return platform.Records{}, &platform.Expired{First: uint64(page.First)}
	}
	if err != nil {
		return platform.Records{}, err
	}
	return platform.Records{End: uint64(page.Next), Records: decodeLog(page.Entries)}, nil
}

// Newest implements Store: it reads the whole stream.
func (s *logStore) Newest(ctx context.Context, _ platform.Partition, _ string) (platform.NewestPage, error) {
	newest := make(map[string]platform.StoredRecord)
	for from := structs.Offset(firstOffset); ; {
		page, err := s.log.Read(ctx, structs.QuarantineStream, from, logPage, 0)
		if errs.Is(err, errs.LogTrimmed) && page.First > from {
			from = page.First
			continue
		}
		if err != nil {
			return platform.NewestPage{}, err
		}
		for _, rec := range decodeLog(page.Entries) {
			newest[rec.Key] = rec
		}
		from += structs.Offset(len(page.Entries))
		if len(page.Entries) == 0 || from >= page.Next {
			return platform.NewestPage{Records: values(newest), End: uint64(from)}, nil
		}
	}
}

func values(newest map[string]platform.StoredRecord) []platform.StoredRecord {
	var list []platform.StoredRecord
	for _, rec := range newest {
		if len(rec.Value) > 0 {
			list = append(list, rec)
		}
	}
	return list
}

// decodeLog reads entries. One that can't be decoded is returned as it is, which its reader leaves out as no record.
func decodeLog(entries []structs.LogEntry) []platform.StoredRecord {
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
