package jobs

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/structs"
)

// jobIDBytes is how much of the SHA-256 sum a JobID keeps.
const jobIDBytes = 16

// JobIDFor derives the id of the job that workspace submits under key.
func JobIDFor(workspace structs.WorkspaceID, key string) structs.JobID {
	h := sha256.New()
	// The length keeps ("a", "bc") and ("ab", "c") apart.
	var n [8]byte
	binary.BigEndian.PutUint64(n[:], uint64(len(workspace)))
	h.Write(n[:])
	h.Write([]byte(workspace))
	h.Write([]byte(key))
	sum := h.Sum(nil)
	return structs.JobID(hex.EncodeToString(sum[:jobIDBytes]))
}

// ShardFor returns the shard of job among shards.
func ShardFor(job structs.JobID, shards int) structs.Shard {
	return structs.Shard(xxhash.Sum64String(string(job)) % uint64(max(1, shards)))
}

// StreamName is the stream that holds the records of shard.
func StreamName(shard structs.Shard) string { return fmt.Sprintf("jobs-%03d", shard) }

// SnapshotStream is the stream that holds the snapshots of shard.
func SnapshotStream(shard structs.Shard) string { return fmt.Sprintf("snapshots-%03d", shard) }

// ContentHash returns the hash of a job's content: its target and the hashes of
// its segments in order.
func ContentHash(spec structs.JobSpec, segments [][]byte) []byte {
	h := sha256.New()
	h.Write([]byte(spec.Model))
	h.Write([]byte{0})
	h.Write([]byte(spec.Service))
	h.Write([]byte{0})
	for _, s := range segments {
		h.Write(s)
	}
	return h.Sum(nil)
}

// SegmentHash returns the hash of a segment's blob.
func SegmentHash(blob []byte) []byte {
	sum := sha256.Sum256(blob)
	return sum[:]
}
