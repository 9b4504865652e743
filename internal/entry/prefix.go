package entry

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the length of one prompt block, in bytes.
	prefixBlockBytes = 256
	// maxPrefixes bounds how many blocks of a prompt are looked at.
	maxPrefixes = 16
)

// prefixHashes returns the hashes of the body's first blocks, shortest prefix first.
// Engines cache prompts by prefix, so requests that share blocks do well together.
func (c *call) prefixHashes() []uint64 {
	n := min(len(c.body)/prefixBlockBytes, maxPrefixes)
	if n == 0 || !c.idempotent {
		return nil
	}

	h := xxhash.New()
	out := make([]uint64, 0, n)

	for i := range n {
		_, _ = h.Write(c.body[i*prefixBlockBytes : (i+1)*prefixBlockBytes])
		out = append(out, h.Sum64())
	}

	return out
}
