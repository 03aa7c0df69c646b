package e2e

import (
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func hasSpans(t *testing.T, path string, names ...string) bool {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	for _, name := range names {
		if !strings.Contains(string(data), `"Name":"`+name+`"`) {
			return false
		}
	}
	return true
}
