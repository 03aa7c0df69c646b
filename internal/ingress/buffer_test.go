package ingress

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/iotest"

	"cactusspoke/internal/memory"

	"github.com/stretchr/testify/require"
)

// endlessBody never ends. It counts the bytes that were read.
type endlessBody struct{ read *atomic.Int64 }

func (b endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

// readBody reads a body whose length is not known.
func readBody(t *testing.T, budget *memory.Budget, body io.Reader) ([]byte, *memory.Account, error) {
	account := budget.Open(func() {})
	data, err := readReserved(body, 0, func(n int64) error { return account.Resize(t.Context(), n) })
	return data, account, err
}

// TestEndlessBodiesTogether asserts that many responses without end are given up once
// they fill the memory set aside for responses, and that others are read afterwards.
func TestEndlessBodiesTogether(t *testing.T) {
	const limit = 4 << 20
	budget := memory.NewBudget(limit)
	var read atomic.Int64
	var group sync.WaitGroup
	for range 20 {
		group.Go(func() {
			_, account, err := readBody(t, budget, endlessBody{&read})
			account.Close()
			require.ErrorIs(t, err, memory.ErrExhausted)
		})
	}
	group.Wait()
	require.Less(t, read.Load(), int64(20*(limit+bufferStepBytes)))
	require.Zero(t, budget.Held())
	body, account, err := readBody(t, budget, strings.NewReader("sound"))
	require.NoError(t, err)
	require.Equal(t, "sound", string(body))
	require.Equal(t, int64(cap(body)), budget.Held())
	account.Close()
	require.Zero(t, budget.Held())
}

// TestSoundBodyBesideEndless guards against a sound response that fails because responses
// without end have filled the memory.
func TestSoundBodyBesideEndless(t *testing.T) {
	const limit = 1 << 20
	budget := memory.NewBudget(limit)
	var read atomic.Int64
	var stop atomic.Bool
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for !stop.Load() {
				_, account, _ := readBody(t, budget, endlessBody{&read})
				account.Close()
			}
		})
	}
	sound := strings.Repeat("x", 1000)
	for range 300 {
		body, account, err := readBody(t, budget, iotest.OneByteReader(strings.NewReader(sound)))
		require.NoError(t, err)
		require.Equal(t, sound, string(body))
		account.Close()
	}
	stop.Store(true)
	group.Wait()
	require.Zero(t, budget.Held())
}
