package node_test

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"cactusspoke/platform"

	"github.com/stretchr/testify/require"
)

// TestOddRegistrations guards against an entry of another writer among those of the servers
// that ends a process, stops it from following the others, or is used as a server.
func TestOddRegistrations(t *testing.T) {
	t.Parallel()
	sound := func(change map[string]any) map[string]any {
		entry := map[string]any{
			"Service": "plain", "Address": "127.0.0.1:9", "Zone": zone, "Version": "v1", "Slots": 4, "State": "ready", "Sequence": 1, "born": int64(1),
		}
		for name, value := range change {
			entry[name] = value
		}
		return entry
	}
	nested := func(n int) string { return strings.Repeat("[", n) + strings.Repeat("]", n) }
	tests := []struct {
		name  string
		key   string
		value any
	}{
		{"deeply nested", "odd", []byte(nested(100_000))},
		{"deeply nested objects without an end", "odd", []byte(strings.Repeat(`{"Service":`, 90_000))},
		{"a deeply nested field", "odd", []byte(`{"Service":"plain","Address":"127.0.0.1:9","State":"ready","Models":` + nested(100_000) + `}`)},
		{"a number too large", "odd", []byte(`{"Service":"plain","Address":"127.0.0.1:9","State":"ready","Slots":123456789012345678901234567890}`)},
		{"an exponent too large", "odd", []byte(`{"Service":"plain","Address":"127.0.0.1:9","State":"ready","born":1e400}`)},
		{"as many slots as a number holds", "odd", sound(map[string]any{"Slots": int64(math.MaxInt64)})},
		{"negative slots", "odd", sound(map[string]any{"Slots": -7})},
		{"a port out of range", "odd", sound(map[string]any{"Address": "127.0.0.1:99999"})},
		{"port 0", "odd", sound(map[string]any{"Address": "127.0.0.1:0"})},
		{"no number for a port", "odd", sound(map[string]any{"Address": "127.0.0.1:http"})},
		{"line breaks in the key", "odd\r\nX-Tenant: b", sound(nil)},
		{"spaces in the key", " ", sound(nil)},
		{"an empty id", "", sound(nil)},
		{"no JSON", "odd", []byte{0xff, 0xfe, 0}},
		{"empty", "odd", []byte{}},
		{"null", "odd", []byte("null")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 1)
			c.putConfig(1, nil)
			c.waitReady()
			c.store.Put(platform.ServersPrefix+tt.key, tt.value)
			time.Sleep(1200 * time.Millisecond) // everybody was told of it
			added := c.addEngine("v1")
			c.plainServers[0].Drain(zone)
			c.eventually(func() bool { return strings.Contains(c.entries[0].out.text(), added.ID) })
			c.eventually(func() bool { return strings.Contains(c.schedulers[0].out.text(), added.ID) })
			for range 12 {
				r := c.send(c.entries[0], http.MethodPost, "/unsafe/x", "u", key, nil, nil)
				require.Equal(t, http.StatusOK, r.status, "a request went to the odd entry: %s", r.body)
			}
			require.Equal(t, http.StatusAccepted, c.send(c.entries[0], http.MethodPost, "/jobs/j", "j", key, jobBody("j", 8, 1, nil), nil).status)
			requireCompleteResults(t, "j", 8, 5, c.waitForResults(c.entries[0], "j"))
			for _, p := range []*process{c.entries[0], c.schedulers[0]} {
				require.NotContains(t, p.out.text(), "component failed")
				select {
				case <-p.done:
					require.Fail(t, "the process ended")
				default:
				}
			}
		})
	}
}
