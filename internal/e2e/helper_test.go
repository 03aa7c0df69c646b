package e2e

import (
	"encoding/json"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// hasSpans tells whether the trace files together hold a span of each name.
func hasSpans(t *testing.T, paths []string, names ...string) bool {
	t.Helper()
	var data []byte
	for _, path := range paths {
		one, err := os.ReadFile(path)
		require.NoError(t, err)
		data = append(data, one...)
	}
	for _, name := range names {
		if !strings.Contains(string(data), `"Name":"`+name+`"`) {
			return false
		}
	}
	return true
}

// addFigures adds a customer's counts of a sealed window; tokens are left out.
func addFigures(t *testing.T, sealed, customer string, into map[string]int) {
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
