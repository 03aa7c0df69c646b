package batch_test

import (
	"encoding/json"
	"testing"

	"cactusspoke/internal/batch"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestEncodedTextLen guards against a result that is taken for one that the store accepts, since
// its text is shorter than its encoding.
func TestEncodedTextLen(t *testing.T) {
	require.Equal(t, 6, (&batch.Result{Text: "<"}).EncodedTextLen())
	rapid.Check(t, func(rt *rapid.T) {
		text := string(rapid.SliceOf(rapid.OneOf(
			rapid.Byte(), rapid.SampledFrom([]byte("<>&\"\\\n\x00\x7f\xe2\x80\xa8\xa9\xef\xbf\xbd")),
		)).Draw(rt, "text"))
		encoded, err := json.Marshal(text)
		require.NoError(rt, err)
		require.Equal(rt, len(encoded)-len(`""`), (&batch.Result{Text: text}).EncodedTextLen(), "%q", text)
	})
}
