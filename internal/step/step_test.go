package step_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/lab"
	"cactusspoke/internal/step"
	"cactusspoke/internal/store"

	"github.com/stretchr/testify/require"
)

func manifest(id step.ID, who string) *step.Manifest {
	return step.NewManifest(id, 5, 2, []step.Entry{step.NewEntry("g-0", who, 4)}, []string{who}, 0)
}

// TestSoakOneManifest lets several instances seal the same steps over an
// unreliable store. All that learn of a step learn of the same manifest.
func TestSoakOneManifest(t *testing.T) {
	steps, seed := lab.SoakParameters(150, 2)
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		chances := lab.FaultProbabilities{Refused: 0.1, LostBefore: 0.1, LostAfter: 0.15, Late: 0.1, Pause: 20 * time.Millisecond}
		for number := range uint64(steps) {
			id := step.NewID("trainer", number)
			var mu sync.Mutex
			learned := map[string]int{}
			var group sync.WaitGroup
			for sealer := range 3 {
				client := store.NewGuard(lab.NewUnreliableStore(memory, chances, seed*1000+number*10+uint64(sealer)))
				registry := step.NewRegistry(client)
				group.Go(func() {
					ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
					defer cancel()
					m, err := registry.Seal(ctx, manifest(id, fmt.Sprint(sealer)))
					if err != nil {
						return
					}
					mu.Lock()
					defer mu.Unlock()
					learned[m.Entries()[0].Digest()]++
				})
			}
			group.Wait()
			require.LessOrEqual(t, len(learned), 1, "seed %d step %d: %v", seed, number, learned)
			stands, err := step.NewRegistry(store.NewGuard(memory)).Manifest(t.Context(), id)
			require.NoError(t, err)
			for digest := range learned {
				require.Equal(t, digest, stands.Entries()[0].Digest())
			}
		}
	})
}

func TestSealRefusesWhatMayNotBeSealed(t *testing.T) {
	id := step.NewID("trainer", 1)
	tests := []struct {
		name    string
		entries []step.Entry
	}{
		{"a sample twice", []step.Entry{step.NewEntry("a", "1", 5), step.NewEntry("a", "2", 5)}},
		{"a sample that is too old", []step.Entry{step.NewEntry("a", "1", 2)}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			registry := step.NewRegistry(store.NewGuard(store.NewMemory()))
			require.Panics(t, func() {
				_, _ = registry.Seal(t.Context(), step.NewManifest(id, 5, 2, test.entries, nil, 0))
			})
		})
	}
}

func BenchmarkManifest(b *testing.B) {
	for _, samples := range []int{64, 512, 2048} {
		b.Run(fmt.Sprintf("samples=%d", samples), func(b *testing.B) {
			var entries []step.Entry
			for i := range samples {
				entries = append(entries, step.NewEntry(fmt.Sprintf("g%d-%d", i/8, i%8), "0123456789abcdef0123456789abcdef", 5))
			}
			number := uint64(0)
			memory := store.NewMemory()
			registry := step.NewRegistry(memory)
			for b.Loop() {
				number++
				_, err := registry.Seal(b.Context(), step.NewManifest(step.NewID("t", number), 5, 2, entries, []string{"a", "b"}, 0))
				require.NoError(b, err)
			}
			page, err := memory.List(b.Context(), step.Prefix)
			require.NoError(b, err)
			b.ReportMetric(float64(len(page.Records()[0].Value()))/float64(samples), "B/sample")
		})
	}
}
