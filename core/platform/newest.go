package platform

import "context"

// EachNewest calls visit with each page of the newest records whose keys come after a key, until there
// are no more or visit says that it has enough. It returns the first page's End: what is written while
// the pages are read is found by reading the log from there on. Errors are those of Store.Newest.
func EachNewest(ctx context.Context, s Store, p Partition, after string, visit func([]StoredRecord) (more bool)) (end uint64, err error) {
	for first := true; ; first = false {
		page, err := s.Newest(ctx, p, after)
		if err != nil {
			return end, err
		}
		if first {
			end = page.End
		}
		if !visit(page.Records) || !page.More || len(page.Records) == 0 {
			return end, nil
		}
		after = page.Records[len(page.Records)-1].Key
	}
}
