package platform

import (
	"context"
	"time"
)

// pagePatience is how long one page of EachNewest may take: the lists that are read with it are small, and a connection may
// fall silent without being closed.
const pagePatience = 1200 * time.Millisecond

// NewestReader is the part of a Store that lists newest records.
type NewestReader interface {
	// Newest is Store.Newest.
	Newest(ctx context.Context, p Partition, after string) (NewestPage, error)
}

// EachNewest calls visit with each page of the newest records whose keys come after a key, until there
// are no more or visit says that it has enough. It is for lists of a page or two. It returns the first page's End: what is written while
// the pages are read is found by reading the log from there on. Errors are those of Store.Newest.
func EachNewest(ctx context.Context, s NewestReader, p Partition, after string, visit func([]StoredRecord) (more bool)) (end uint64, err error) {
	for first := true; ; first = false {
		page, err := newestPage(ctx, s, p, after)
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

func newestPage(ctx context.Context, s NewestReader, p Partition, after string) (NewestPage, error) {
	ctx, cancel := context.WithTimeout(ctx, pagePatience)
	defer cancel()
	return s.Newest(ctx, p, after)
}
