package streamorigin_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"
	"cactusspoke/internal/kv/kvtest"
	"cactusspoke/internal/streamorigin"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestRecords checks that other instances find the origins of streams once there may be
// two, also of those that began before, and that a store outage delays this at most.
func TestRecords(t *testing.T) {
	const streams = 100
	tests := []struct {
		name   string
		faults kvtest.Faults
		play   func(setSeen func(versions ...string), client *kvtest.Client)
		found  int
	}{
		{"one version", kvtest.Faults{}, func(func(...string), *kvtest.Client) {}, 0},
		{"a second version comes", kvtest.Faults{}, func(setSeen func(...string), _ *kvtest.Client) {
			setSeen("v1", "v2")
		}, streams},
		{"a second version comes in an outage", kvtest.Faults{}, func(setSeen func(...string), client *kvtest.Client) {
			client.SetDisconnected(true)
			setSeen("v1", "v2")
			time.Sleep(5 * time.Second)
			client.SetDisconnected(false)
		}, streams},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := kvtest.New(1, tt.faults)
				ctx, stop := context.WithCancel(t.Context())
				client := store.Client()
				var seen atomic.Pointer[map[string][]string]
				setSeen := func(versions ...string) { seen.Store(&map[string][]string{"engines": versions}) }
				setSeen("v1")
				newRecords := func(client kv.Store) *streamorigin.Records {
					return streamorigin.NewRecords(client, func([]string) map[string][]string { return *seen.Load() }, func() int { return 7 }, zap.NewNop())
				}
				first, other := newRecords(client), newRecords(store.Client())
				done := make(chan struct{})
				go func() {
					defer close(done)
					_ = first.Run(ctx)
				}()
				origin := streamorigin.Origin{Service: "engines", Software: "v1"}
				for i := range streams {
					first.Begin(fmt.Sprintf("s-%d", i), origin, []string{"engines"})
				}
				tt.play(setSeen, client)
				time.Sleep(3 * time.Second)
				found := 0
				for i := range streams {
					id := fmt.Sprintf("s-%d", i)
					local, err := first.Find(ctx, id)
					require.NoError(t, err)
					require.Equal(t, origin, *local)
					recorded, err := other.Find(ctx, id)
					require.NoError(t, err)
					if recorded != nil {
						require.Equal(t, origin, *recorded)
						found++
					}
				}
				require.Equal(t, tt.found, found)
				stop()
				<-done
			})
		})
	}
}

// TestFindInOutage asserts that an origin which cannot be looked up is not taken for one
// that is not recorded.
func TestFindInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := kvtest.New(1, kvtest.Faults{}).Client()
		client.SetDisconnected(true)
		records := streamorigin.NewRecords(client, func([]string) map[string][]string { return nil }, func() int { return 1 }, zap.NewNop())
		_, err := records.Find(t.Context(), "s")
		require.Error(t, err)
		recorded, err := records.Find(t.Context(), "not/a/key")
		require.NoError(t, err)
		require.Nil(t, recorded)
	})
}
