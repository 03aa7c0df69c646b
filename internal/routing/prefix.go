package routing

import "github.com/cespare/xxhash/v2"

// prefixBytes is the length of the prompt prefix used for affinity.
const prefixBytes = 256

// PrefixHash returns the hash of the first prefixBytes of a prompt. It returns
// false for shorter prompts, which gain too little from prefix affinity.
func PrefixHash(prompt []byte) (uint64, bool) {
	if len(prompt) < prefixBytes {
		return 0, false
	}
	return xxhash.Sum64(prompt[:prefixBytes]), true
}
