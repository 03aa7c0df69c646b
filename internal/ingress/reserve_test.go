package ingress

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"cactusspoke/internal/memory"

	"github.com/stretchr/testify/require"
)

// TestReserveBeforeGrowth guards against a buffer that grows before its memory was granted, or
// that takes more than was granted, and against a body that is cut at the size of a buffer.
func TestReserveBeforeGrowth(t *testing.T) {
	errRefused := errors.New("refused")
	tests := []struct {
		name         string
		size, length int
		granted      int64
		want         error
	}{
		{"empty", 0, 0, 0, nil},
		{"length is known", 300_000, 300_000, 300_000, nil},
		{"length is known and refused", 300_000, 300_000, 299_999, errRefused},
		{"fills one buffer", bufferStepBytes, 0, bufferStepBytes, nil},
		{"fills two buffers", 2 * bufferStepBytes, 0, 3 * bufferStepBytes, nil},
		{"grows", 2*bufferStepBytes + 1, 0, 6 * bufferStepBytes, nil},
		{"growth is refused", 2*bufferStepBytes + 1, 0, 5 * bufferStepBytes, errRefused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			budget := memory.NewBudget(1 << 20)
			account := budget.Open(func() {})
			held := int64(0)
			body, err := readReserved(io.MultiReader(strings.NewReader(strings.Repeat("x", test.size))), int64(test.length), func(n int64) error {
				if n > test.granted {
					return errRefused
				}
				held = n
				return account.Resize(t.Context(), n)
			})
			require.ErrorIs(t, err, test.want)
			if test.want == nil {
				require.Equal(t, bytes.Repeat([]byte("x"), test.size), append([]byte{}, body...))
				require.Equal(t, int64(cap(body)), held)
				require.Equal(t, held, budget.Held())
			}
			account.Close()
			require.Zero(t, budget.Held())
		})
	}
}
