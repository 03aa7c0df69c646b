package routing

import "github.com/cespare/xxhash/v2"

// prefixBytes is how much of a prompt decides its affinity.
const prefixBytes = 256

// PrefixHash returns the hash of a prompt's first block, and whether the
// prompt is long enough to be worth keeping together.
func PrefixHash(prompt []byte) (uint64, bool) {
	if len(prompt) < prefixBytes {
		return 0, false
	}
	return xxhash.Sum64(prompt[:prefixBytes]), true
}
