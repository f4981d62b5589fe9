package structs

import "github.com/cespare/xxhash/v2"

// PrefixBlock is the length in bytes of one block of a prompt, for prefix hashes.
const PrefixBlock = 256

// PromptPrefixes returns the hashes of the growing prefixes of a prompt: one for each whole
// block of PrefixBlock bytes. text is the JSON value of the body's "prompt" or "messages" as
// it was sent, so that nothing has to be decoded. Equal prefixes have equal hashes; the
// hash of block n stands for all blocks up to n.
func PromptPrefixes(text []byte) []uint64 {
	n := len(text) / PrefixBlock
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range hashes {
		_, _ = d.Write(text[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes[i] = d.Sum64()
	}
	return hashes
}
