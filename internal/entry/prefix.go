package entry

import "github.com/cespare/xxhash/v2"

const (
	// prefixBlockBytes is the length of one prompt block.
	prefixBlockBytes = 256
	// maxPrefixes bounds how many blocks of a prompt are hashed.
	maxPrefixes = 16
)

// prefixHashes returns the hashes of the body's prefixes of complete blocks, shortest
// first. Engines cache prompts by prefix, so requests with common prefixes benefit from
// the same target.
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
