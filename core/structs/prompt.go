package structs

import (
	"strings"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlock is the length in bytes of one block of a prompt, for prefix hashes.
const PrefixBlock = 256

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatPrompt returns the prompt text of a chat, as prefix hashes see it.
func ChatPrompt(messages []Message) string {
	var b strings.Builder
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteByte('\n')
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// PromptPrefixes returns the hashes of the prompt's growing prefixes: one per whole
// block of PrefixBlock bytes. Equal prefixes have equal hashes, so the hash of block
// n stands for all blocks up to n.
func PromptPrefixes(prompt string) []uint64 {
	n := len(prompt) / PrefixBlock
	if n == 0 {
		return nil
	}
	hashes := make([]uint64, n)
	d := xxhash.New()
	for i := range hashes {
		_, _ = d.WriteString(prompt[i*PrefixBlock : (i+1)*PrefixBlock])
		hashes[i] = d.Sum64()
	}
	return hashes
}
