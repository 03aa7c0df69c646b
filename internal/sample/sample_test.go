package sample_test

import (
	"fmt"
	"testing"

	"cactusspoke/internal/sample"

	"github.com/stretchr/testify/require"
)

func ExampleBuilder() {
	b := sample.NewBuilder("g0-0", "g0")
	b.Add([]byte(`{"choices":[{"delta":{"content":"a b "}}],"system_fingerprint":"e1:7","usage":{"completion_tokens":2}}`))
	b.Add([]byte(`{"choices":[{"delta":{"content":"c"},"finish_reason":"stop"}],"system_fingerprint":"e1:8","usage":{"completion_tokens":3}}`))
	s, _ := b.Finish()
	for _, span := range s.Spans() {
		fmt.Println(span.From(), span.To(), span.Version())
	}
	fmt.Println(s.OldestVersion(), s.Text())
	// Output:
	// 0 2 7
	// 2 3 8
	// 7 a b c
}

// TestBuilderRefusesUnversionedTokens checks that a sample with a token of unknown
// weight version is rejected, even if later events report one.
func TestBuilderRefusesUnversionedTokens(t *testing.T) {
	tests := []struct {
		name   string
		events []string
	}{
		{"no token count", []string{`{"choices":[{"delta":{"content":"x"}}],"system_fingerprint":"e:1"}`}},
		{"no version", []string{`{"usage":{"completion_tokens":1}}`}},
		{"version missing in the middle", []string{
			`{"system_fingerprint":"e:1","usage":{"completion_tokens":1}}`,
			`{"usage":{"completion_tokens":2}}`,
			`{"system_fingerprint":"e:1","usage":{"completion_tokens":3}}`,
		}},
		{"version is not a number", []string{`{"system_fingerprint":"e:x","usage":{"completion_tokens":1}}`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := sample.NewBuilder("a", "g")
			for _, e := range test.events {
				b.Add([]byte(e))
			}
			_, err := b.Finish()
			require.Error(t, err)
		})
	}
}

// FuzzBuilder checks that every sample the builder accepts keeps its spans when
// encoded and decoded.
func FuzzBuilder(f *testing.F) {
	f.Add([]byte(`{"system_fingerprint":"e:1","usage":{"completion_tokens":1}}`), []byte(`{"usage":{"completion_tokens":-4}}`))
	f.Fuzz(func(t *testing.T, a, b []byte) {
		builder := sample.NewBuilder("a", "g")
		builder.Add(a)
		builder.Add(b)
		s, err := builder.Finish()
		if err != nil {
			return
		}
		decoded, err := sample.Decode(sample.Encode(s))
		require.NoError(t, err)
		require.Equal(t, s.Spans(), decoded.Spans())
	})
}
