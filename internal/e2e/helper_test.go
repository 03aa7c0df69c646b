package e2e

import (
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
