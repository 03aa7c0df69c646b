package e2e

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// hasSpans reports whether the trace files together contain a span of each name.
func hasSpans(t *testing.T, paths []string, names ...string) bool {
	t.Helper()
	var data []byte
	for _, path := range paths {
		trace, err := os.ReadFile(path)
		require.NoError(t, err)
		data = append(data, trace...)
	}
	for _, name := range names {
		if !strings.Contains(string(data), `"Name":"`+name+`"`) {
			return false
		}
	}
	return true
}

// addUsageCounts adds a customer's request counts in a sealed window to into. Token
// counts are excluded.
func addUsageCounts(t *testing.T, sealed, customer string, into map[string]int) {
	t.Helper()
	var wire struct {
		Figures []struct {
			Customer string `json:"customer"`
			Kind     string `json:"kind"`
			Value    int    `json:"value"`
		} `json:"figures"`
	}
	require.NoError(t, json.Unmarshal([]byte(sealed), &wire))
	for _, f := range wire.Figures {
		if f.Customer == customer && !strings.HasSuffix(f.Kind, "tokens") {
			into[f.Kind] += f.Value
		}
	}
}
