package dedup

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"arbutusramp/core/confstate"
	"arbutusramp/core/errs"
	"arbutusramp/core/structs"
)

// Hash is the content hash that Begin wants.
func Hash(method, path string, body []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A Digest never fails to write.
	_, _ = d.WriteString(method)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Home returns the one target that may run the non-idempotent requests of workspace
// with key. It hashes over the registered targets of service rather than the live ones,
// so that all entries agree. Errors: errs.NoTarget when none is registered,
// errs.KeyUnverifiable when the home was removed less than window ago.
func Home(workspace structs.WorkspaceID, key string, service structs.ServiceID,
	targets map[structs.TargetID]confstate.Target, nowMs int64, window time.Duration,
) (structs.TargetID, error) {
	keep := window + DefaultPropagation + 2*DefaultSkew
	keyHash := Hash(string(workspace), key, nil)
	var best confstate.Target
	var bestScore uint64
	for id, t := range targets {
		if t.Kind != structs.KindService || t.Service != service || expired(t, nowMs, keep) {
			continue
		}
		s := score(keyHash, id)
		if best.ID == "" || s > bestScore || (s == bestScore && id < best.ID) {
			best, bestScore = t, s
			best.ID = id
		}
	}
	switch {
	case best.ID == "":
		return "", errs.Newf(errs.NoTarget, "no target of service %q is registered", service)
	case removed(best):
		return "", errs.Newf(errs.KeyUnverifiable, "the key belongs to target %q, which was removed", best.ID)
	}
	return best.ID, nil
}

func removed(t confstate.Target) bool { return t.RemovedAt != 0 || t.RemovedMs != 0 }

func expired(t confstate.Target, nowMs int64, keep time.Duration) bool {
	return removed(t) && nowMs-t.RemovedMs >= keep.Milliseconds()
}

func score(keyHash uint64, id structs.TargetID) uint64 {
	var buf [64]byte
	b := binary.LittleEndian.AppendUint64(buf[:0], keyHash)
	return xxhash.Sum64(append(b, id...))
}
