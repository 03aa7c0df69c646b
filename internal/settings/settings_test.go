package settings_test

import (
	"encoding/json"
	"testing"
	"time"

	"cactusspoke/internal/settings"

	"github.com/stretchr/testify/require"
)

func validFields() map[string]any {
	return map[string]any{
		"instance": "entry-0", "region": "my-west", "failure-domain": "a",
		"callers": map[string]any{"address": "10.0.0.1:8100"}, "peers": map[string]any{"address": "10.0.0.1:8200"},
		"operators": map[string]any{"address": "10.0.0.1:8300"}, "store": map[string]any{"address": "10.0.0.9:9000"},
		"platform": map[string]any{"instances": "10.0.0.9:9001"},
		"keys":     map[string]any{"digest-secret": "0123456789abcdef0123456789abcdef"},
	}
}

func parse(t *testing.T, fields map[string]any) (*settings.Settings, error) {
	t.Helper()
	data, err := json.Marshal(fields)
	require.NoError(t, err)
	return settings.Parse(data)
}

func TestDefaults(t *testing.T) {
	s, err := parse(t, validFields())
	require.NoError(t, err)
	require.Equal(t, 3*time.Second, s.LeaseTTL())
	require.Equal(t, "entry-0", s.Instance())
	require.Empty(t, s.DataFolder())
}

func TestProblemsAreListedWithTheirPath(t *testing.T) {
	tests := []struct {
		name   string
		change func(f map[string]any)
		want   []string
	}{
		{"unknown field", func(f map[string]any) { f["callers"].(map[string]any)["adress"] = "x" }, []string{"callers.adress: unknown field"}},
		{"host name", func(f map[string]any) { f["store"].(map[string]any)["address"] = "store.example:9000" }, []string{`store.address: "store.example:9000" must be an IP address and a port`}},
		{"no failure domain", func(f map[string]any) { delete(f, "failure-domain") }, []string{"failure-domain: is missing"}},
		{"bad unit", func(f map[string]any) { f["usage"] = map[string]any{"window": "5"} }, []string{`usage.window: "5" must be a positive duration with a unit`}},
		{"number as text", func(f map[string]any) { f["duties"] = map[string]any{"max-servers": "4"} }, []string{"duties.max-servers: must be a number, not a string"}},
		{"margin over half", func(f map[string]any) { f["duties"] = map[string]any{"lease-ttl": "1s"} }, []string{"duties.lease-margin: must be less than half of duties.lease-ttl"}},
		{"one address twice", func(f map[string]any) { f["peers"] = f["callers"] }, []string{"peers.address: is the same address as callers.address"}},
		{"several at once", func(f map[string]any) { delete(f, "region"); f["instance"] = "Entry 0" }, []string{"region: is missing", `instance: "Entry 0" must be lower-case`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := validFields()
			test.change(f)
			_, err := parse(t, f)
			require.Error(t, err)
			for _, want := range test.want {
				require.ErrorContains(t, err, want)
			}
		})
	}
}
