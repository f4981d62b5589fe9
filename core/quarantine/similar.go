package quarantine

import "math"

const (
	// similarScopeCount is the number of similarity scopes of a content. Each is derived from several minimum hashes of
	// the body: two bodies share it with the probability J^minima, where J is the share of parts that they have in
	// common.
	similarScopeCount = 5
	// minSimilarScopes is how many similarity scopes of a content must be quarantined before the content counts as
	// similar to those that crash targets.
	minSimilarScopes = 2
	// minClearingScopes is how many similarity scopes of a passed content must have crashes before the pass clears them.
	// It is higher than minSimilarScopes: contents that only share instructions often have one in common, and would
	// clear each of them in turn.
	minClearingScopes = 3
	// minSimilarParts is the number of parts below which a body has no similarity scopes.
	minSimilarParts = 4
	maxMinima       = 16 // per scope
	// shortBytes is the length below which a body is hashed without its digits: a counter is a large part of it.
	shortBytes = 64
)

// similarityOf returns the length of the overlapping parts of a body that are hashed, in bytes, the number of minimum
// hashes per scope, and by how many bits the hash of a part is shifted to see whether the part is used: it is if the
// result is 0, so that most parts of a long body cost a single multiplication. In a longer body a changed byte is a smaller part, and instructions that all callers of an
// application share are a larger one: more minima keep requests apart that share only those.
func similarityOf(body []byte) (partBytes, minima, sampleShift int) {
	switch {
	case len(body) < shortBytes:
		return 2, 2, 64
	case len(body) < 1<<9:
		return 4, 3, 64
	case len(body) < 1<<10:
		return 4, 8, 61
	case len(body) < 1<<13:
		return 4, maxMinima, 61
	}
	return 4, maxMinima, 58
}

// similarHashes returns the hashes of a body that identify its similarity scopes, or none if the body is too short.
// Bodies that differ in a few bytes have most of these hashes in common.
func similarHashes(body []byte) []uint64 {
	partBytes, minimaPerScope, sampleShift := similarityOf(body)
	if len(body) < shortBytes {
		body = withoutDigits(body)
	}
	if len(body) < partBytes+minSimilarParts-1 {
		return nil
	}
	var buf [similarScopeCount * maxMinima]uint64
	minima := buf[:similarScopeCount*minimaPerScope]
	for i := range minima {
		minima[i] = math.MaxUint64
	}
	var part uint32
	for i, b := range body {
		part = (part<<8 | uint32(b)) & (1<<(8*partBytes) - 1)
		hash := uint64(part+1) * hashFactor
		if i < partBytes-1 || hash>>sampleShift != 0 {
			continue
		}
		hash = mix(hash)
		for j := range minima {
			minima[j] = min(minima[j], hash*(2*uint64(j)+hashFactor))
		}
	}
	if minima[0] == math.MaxUint64 {
		return nil // no part was sampled, as in a body that repeats one byte
	}
	hashes := make([]uint64, similarScopeCount)
	for i, minimum := range minima {
		hash := &hashes[i/minimaPerScope]
		*hash = mix(*hash ^ minimum)
	}
	return hashes
}

// withoutDigits returns a copy of the body without its digits.
func withoutDigits(body []byte) []byte {
	kept := make([]byte, 0, len(body))
	for _, b := range body {
		if b < '0' || b > '9' {
			kept = append(kept, b)
		}
	}
	return kept
}

// mix is the finalizer of SplitMix64, which changes about half of the bits if one bit of x changes.
func mix(x uint64) uint64 {
	x += hashFactor
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashFactor is the odd constant of SplitMix64, 2^64 divided by the golden ratio.
const hashFactor = 0x9e3779b97f4a7c15
