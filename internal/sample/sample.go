// Package sample holds what a trainer gets: answers with the weight versions
// that truly produced them.
package sample

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"

	"cactusspoke/internal/invariant"

	"github.com/tidwall/gjson"
	"github.com/zeebo/errs"
)

// Class prefixes the errors of this package.
var Class = errs.Class("sample")

// Span is a range of tokens that one weight version produced, as the engine
// reported it.
type Span struct {
	from, to    int
	version     int64
	incarnation string
}

// From returns the first token of the span.
func (s Span) From() int { return s.from }

// To returns the token after the span's last.
func (s Span) To() int { return s.to }

// Version returns the weight version.
func (s Span) Version() int64 { return s.version }

// Sample is one finished answer.
type Sample struct {
	id           string
	group        string
	text         string
	finishReason string
	tokens       int
	spans        []Span
}

// ID returns the sample's id, unique within its step.
func (s *Sample) ID() string { return s.id }

// Group returns the group the sample belongs to.
func (s *Sample) Group() string { return s.group }

// Text returns the generated text.
func (s *Sample) Text() string { return s.text }

// Tokens returns the number of generated tokens.
func (s *Sample) Tokens() int { return s.tokens }

// Spans returns the spans in token order.
func (s *Sample) Spans() []Span { return s.spans }

// OldestVersion returns the oldest weight version among the spans.
func (s *Sample) OldestVersion() int64 {
	oldest := int64(-1)
	for _, span := range s.spans {
		if oldest < 0 || span.version < oldest {
			oldest = span.version
		}
	}
	return oldest
}

// Builder puts a sample together from an engine's events.
type Builder struct {
	sample Sample
	text   strings.Builder
	fault  error
}

// NewBuilder returns a builder of one sample.
func NewBuilder(id, group string) *Builder {
	return &Builder{sample: Sample{id: id, group: group}}
}

// Add takes in one event. An event that adds tokens must name its version;
// an engine that cannot say is not used for samples.
func (b *Builder) Add(data []byte) {
	root := gjson.ParseBytes(data)
	b.text.WriteString(root.Get("choices.0.delta.content").String())
	if reason := root.Get("choices.0.finish_reason").String(); reason != "" {
		b.sample.finishReason = reason
	}
	tokens := int(root.Get("usage.completion_tokens").Int())
	if tokens <= b.sample.tokens {
		return
	}
	incarnation, version, ok := ParseFingerprint(root.Get("system_fingerprint").String())
	if !ok {
		b.fault = Class.New("tokens %d to %d name no weight version", b.sample.tokens, tokens)
		return
	}
	b.extend(tokens, version, incarnation)
}

func (b *Builder) extend(tokens int, version int64, incarnation string) {
	last := len(b.sample.spans) - 1
	if last >= 0 && b.sample.spans[last].version == version && b.sample.spans[last].incarnation == incarnation {
		b.sample.spans[last].to = tokens
	} else {
		b.sample.spans = append(b.sample.spans, Span{b.sample.tokens, tokens, version, incarnation})
	}
	b.sample.tokens = tokens
}

// Finish returns the sample, if every token of it is attributed.
func (b *Builder) Finish() (*Sample, error) {
	if b.fault != nil {
		return nil, b.fault
	}
	if b.sample.tokens == 0 {
		return nil, Class.New("the engine reported no tokens")
	}
	b.sample.text = b.text.String()
	covered := 0
	for _, span := range b.sample.spans {
		invariant.Check(invariant.SampleVersions, span.from == covered && span.to > span.from,
			"sample %s: span %d to %d after token %d", b.sample.id, span.from, span.to, covered)
		covered = span.to
	}
	invariant.Check(invariant.SampleVersions, covered == b.sample.tokens,
		"sample %s: %d of %d tokens attributed", b.sample.id, covered, b.sample.tokens)
	return &b.sample, nil
}

// Fingerprint returns the form in which engines report what produced a chunk.
func Fingerprint(incarnation string, version int64) string {
	return incarnation + ":" + strconv.FormatInt(version, 10)
}

// ParseFingerprint reads an engine's fingerprint.
func ParseFingerprint(text string) (incarnation string, version int64, ok bool) {
	incarnation, number, found := strings.Cut(text, ":")
	if !found {
		return "", 0, false
	}
	version, err := strconv.ParseInt(number, 10, 64)
	return incarnation, version, err == nil
}

type spanWire struct {
	From        int    `json:"from"`
	To          int    `json:"to"`
	Version     int64  `json:"weight-version"`
	Incarnation string `json:"engine"`
}

type sampleWire struct {
	ID           string     `json:"id"`
	Group        string     `json:"group"`
	Text         string     `json:"text"`
	FinishReason string     `json:"finish-reason,omitempty"`
	Tokens       int        `json:"tokens"`
	Spans        []spanWire `json:"spans"`
}

// Encode returns the JSON form of a sample.
func Encode(s *Sample) []byte {
	wire := sampleWire{ID: s.id, Group: s.group, Text: s.text, FinishReason: s.finishReason, Tokens: s.tokens}
	for _, span := range s.spans {
		wire.Spans = append(wire.Spans, spanWire{span.from, span.to, span.version, span.incarnation})
	}
	data, err := json.Marshal(wire)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode reads the JSON form of a sample.
func Decode(data []byte) (*Sample, error) {
	var wire sampleWire
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, Class.Wrap(err)
	}
	s := &Sample{id: wire.ID, group: wire.Group, text: wire.Text, finishReason: wire.FinishReason, tokens: wire.Tokens}
	for _, w := range wire.Spans {
		s.spans = append(s.spans, Span{w.From, w.To, w.Version, w.Incarnation})
	}
	return s, nil
}

// digestBytes is the length of a body's digest.
const digestBytes = 16

// Digest returns the digest of an encoded sample in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:digestBytes])
}
