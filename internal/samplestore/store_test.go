package samplestore_test

import (
	"testing"

	"cactusspoke/internal/samplestore"

	"github.com/stretchr/testify/require"
)

// TestStorePersistsAcrossRestart checks that samples survive closing and
// reopening the database, that a second open fails while it is in use, and that
// a step can be dropped twice.
func TestStorePersistsAcrossRestart(t *testing.T) {
	folder := t.TempDir()
	store, err := samplestore.Open(folder)
	require.NoError(t, err)
	require.NoError(t, store.Put("trainer/1", map[string][]byte{"a": []byte("one"), "b": []byte("two")}))
	_, err = samplestore.Open(folder)
	require.ErrorContains(t, err, "in use by another process")
	require.NoError(t, store.Close())
	store, err = samplestore.Open(folder)
	require.NoError(t, err)
	got, err := store.Get("trainer/1", []string{"a", "c"})
	require.NoError(t, err)
	require.Equal(t, map[string][]byte{"a": []byte("one")}, got)
	require.NoError(t, store.DeleteStep("trainer/1"))
	require.NoError(t, store.DeleteStep("trainer/1"))
	steps, err := store.Steps()
	require.NoError(t, err)
	require.Empty(t, steps)
	require.NoError(t, store.Close())
}
