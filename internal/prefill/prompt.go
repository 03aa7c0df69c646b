// Package prefill estimates how long the prompts that an engine is prefilling delay the first
// event of another request, and says which engines a request should prefer therefore. Engines
// prefill prompts in the order in which they came, so that a short prompt waits for the long
// ones before it. The estimates are pure: they take the time and what was sent and observed.
package prefill

import (
	"strconv"
	"strings"
)

const (
	// maxTokens bounds the tokens of a prompt that are believed. No engine has memory for more.
	maxTokens = 1 << 24
	// maxParts bounds the parts of a prompt that are remembered.
	maxParts = 64
)

// Part is a part of a prompt that other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Prompt is what a request states of its prompt. The zero value states nothing.
type Prompt struct {
	Tokens int
	// Parts are the first parts of the prompt in their order; they may not cover all of it.
	Parts []Part
}

// Parse decodes the token counts "in,out" of a request and the parts of its prompt,
// "ID:TOKENS" separated by commas with hexadecimal ids. Invalid token counts state nothing;
// parts count up to the first invalid one.
func Parse(counts, parts string) (p Prompt, valid bool) {
	in, _, _ := strings.Cut(counts, ",")
	tokens, err := strconv.Atoi(strings.TrimSpace(in))
	if err != nil || tokens < 0 || tokens > maxTokens {
		return Prompt{}, false
	}
	p.Tokens = tokens
	covered := 0
	for parts != "" && len(p.Parts) < maxParts {
		var text string
		text, parts, _ = strings.Cut(parts, ",")
		idText, tokensText, _ := strings.Cut(strings.TrimSpace(text), ":")
		id, idErr := strconv.ParseUint(idText, 16, 64)
		n, err := strconv.Atoi(tokensText)
		if idErr != nil || err != nil || n < 0 || n > tokens-covered {
			break
		}
		covered += n
		p.Parts = append(p.Parts, Part{id, n})
	}
	return p, true
}

// Resumed returns the prompt of a request that also brings a part of its output, which is
// prefilled like the prompt.
func (p Prompt) Resumed(tokens int) Prompt {
	if p.Tokens > 0 {
		p.Tokens += tokens
	}
	return p
}
