package jobs

import (
	"fmt"
	"runtime"
	"testing"

	"arbutusramp/core/structs"
)

// benchShape is a shard's stream at the target: each append carries outcomes of several jobs.
type benchShape struct {
	jobs, items, perAppend, jobsPerAppend, resultBytes int
}

var shape = benchShape{jobs: 100, items: 10_000, perAppend: 150, jobsPerAppend: 5, resultBytes: 500}

// encoded returns the entries of a stream that finishes all items of all jobs.
func (b benchShape) encoded(t testing.TB) (setup, done []structs.LogEntry, items int) {
	s, _ := newStream(Broken{})
	add := func(list *[]structs.LogEntry, env structs.Envelope) {
		body, err := Encode(&env)
		if err != nil {
			t.Fatal(err)
		}
		s.put(env)
		*list = append(*list, structs.LogEntry{Offset: s.off, Body: body})
	}
	add(&setup, s.env(writerA, 0, structs.JobRecord{Claim: &structs.ShardClaim{}}))
	for j := range b.jobs {
		var records []structs.JobRecord
		var hashes [][]byte
		id := structs.JobID(fmt.Sprintf("%032d", j))
		for seg := 0; seg*256 < b.items; seg++ {
			blob := fmt.Appendf(nil, "segment %d of %d", seg, j)
			n := min(256, b.items-seg*256)
			g := &structs.JobSegment{Job: id, Seg: seg, Count: n, Hash: SegmentHash(blob), Blob: blob}
			hashes = append(hashes, g.Hash)
			records = append(records, structs.JobRecord{Segment: g})
		}
		records = append(records, structs.JobRecord{Accept: &structs.JobAccept{
			Job: id, Spec: spec, Segments: len(hashes), Count: b.items, Hash: ContentHash(spec, hashes),
		}})
		add(&setup, s.env(writerA, s.Epoch, records...))
	}
	next := make([]int, b.jobs)
	body := make([]byte, b.resultBytes)
	for first := 0; next[first%b.jobs] < b.items; first += b.jobsPerAppend {
		var records []structs.JobRecord
		for k := range b.jobsPerAppend {
			j := (first + k) % b.jobs
			id := structs.JobID(fmt.Sprintf("%032d", j))
			var results []structs.ItemResult
			for range b.perAppend / b.jobsPerAppend {
				if next[j] < b.items {
					results = append(results, structs.ItemResult{Index: next[j], Status: 200, Body: body})
					next[j]++
				}
			}
			r, err := DoneRecord(id, results)
			if err != nil {
				t.Fatal(err)
			}
			records = append(records, r)
		}
		add(&done, s.env(writerA, s.Epoch, records...))
	}
	return setup, done, b.jobs * b.items
}

func apply(s *State, entries []structs.LogEntry) {
	for _, e := range entries {
		s.ApplyEntry(e)
	}
}

// BenchmarkFold gives items folded a second on one core, decoding included.
func BenchmarkFold(b *testing.B) {
	setup, done, items := shape.encoded(b)
	b.ResetTimer()
	for range b.N {
		b.StopTimer()
		s := NewState(nil, Broken{})
		apply(s, setup)
		b.StartTimer()
		apply(s, done)
	}
	b.ReportMetric(float64(items)*float64(b.N)/b.Elapsed().Seconds(), "items/s")
}

// BenchmarkMemory gives the bytes of state per item before the first and after
// the last result.
func BenchmarkMemory(b *testing.B) {
	setup, done, items := shape.encoded(b)
	for range b.N {
		before := heap()
		s := NewState(nil, Broken{})
		apply(s, setup)
		open := heap()
		apply(s, done)
		finished := heap()
		parts, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		size := 0
		for _, p := range parts {
			size += len(p)
		}
		b.ReportMetric(float64(open-before)/float64(items), "B/open-item")
		b.ReportMetric(float64(finished-before)/float64(items), "B/finished-item")
		b.ReportMetric(float64(size)/float64(items), "B/item-in-snapshot")
		runtime.KeepAlive(s)
	}
}

func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// BenchmarkTake gives the cost of a pull of 32 items over many jobs.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{10, 1000, 10_000} {
		b.Run(fmt.Sprint("jobs=", n), func(b *testing.B) {
			s := NewState(nil, Broken{})
			for i := range n {
				ws := structs.WorkspaceID(fmt.Sprint("w", i%100))
				addJob(s, structs.JobID(fmt.Sprint("j", i)), ws, 10_000, int64(i))
			}
			sc := NewSched(s, start, 0)
			b.ResetTimer()
			for range b.N {
				for _, p := range sc.Take(start, query("x", 32)) {
					sc.Drop(p.Key)
				}
			}
		})
	}
}

// BenchmarkRecovery gives the time to read a state back from a snapshot of one
// million finished items, and per entry after it.
func BenchmarkRecovery(b *testing.B) {
	setup, done, items := shape.encoded(b)
	s := NewState(nil, Broken{})
	apply(s, setup)
	apply(s, done)
	parts, err := s.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	var entries []structs.LogEntry
	for i, p := range parts {
		entries = append(entries, structs.LogEntry{Offset: structs.Offset(i + 1), Body: p})
	}
	b.ResetTimer()
	for range b.N {
		body, _ := NewestSnapshot(entries)
		if _, err := Restore(body, nil, Broken{}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(items), "items")
}
