package streamorigin_test

import (
	"testing"

	"cactusspoke/internal/streamorigin"

	"github.com/stretchr/testify/require"
)

// TestDecide checks where a stream that its caller takes up may go on.
func TestDecide(t *testing.T) {
	one := []string{"engines"}
	versions := func(list ...string) map[string][]string { return map[string][]string{"engines": list} }
	at := func(software string) *streamorigin.Origin {
		return &streamorigin.Origin{Service: "engines", Software: software}
	}
	tests := []struct {
		name      string
		knowledge streamorigin.Knowledge
		software  string
		verdict   streamorigin.Verdict
	}{
		{"recorded", streamorigin.Knowledge{Recorded: at("v1"), Services: one, Seen: versions("v1", "v2"), Ready: versions("v1", "v2")}, "v1", streamorigin.GoOn},
		{"recorded, its version left", streamorigin.Knowledge{Recorded: at("v1"), Services: one, Seen: versions("v1", "v2"), Ready: versions("v2")}, "v1", streamorigin.Gone},
		{"recorded at a service that the route no longer uses", streamorigin.Knowledge{Recorded: at("v1"), Services: []string{"other"}, Ready: versions("v1")}, "v1", streamorigin.Gone},
		{"one version served", streamorigin.Knowledge{Services: one, Seen: versions("v1"), Ready: versions("v1")}, "v1", streamorigin.GoOn},
		{"one version served, the store is away", streamorigin.Knowledge{LookupFailed: true, Services: one, Seen: versions("v1"), Ready: versions("v1")}, "", streamorigin.Unavailable},
		{"recorded, the store is away", streamorigin.Knowledge{Recorded: at("v1"), LookupFailed: true, Services: one, Seen: versions("v1"), Ready: versions("v1")}, "v1", streamorigin.GoOn},
		{"two versions served", streamorigin.Knowledge{Services: one, Seen: versions("v1", "v2"), Ready: versions("v1", "v2")}, "", streamorigin.Unknown},
		{"the other version just left", streamorigin.Knowledge{Services: one, Seen: versions("v1", "v2"), Ready: versions("v2")}, "", streamorigin.Unknown},
		{"two versions served, the store is away", streamorigin.Knowledge{LookupFailed: true, Services: one, Seen: versions("v1", "v2"), Ready: versions("v1", "v2")}, "", streamorigin.Unavailable},
		{"the versions that served are not known", streamorigin.Knowledge{Services: one, Ready: versions("v1")}, "", streamorigin.Unknown},
		{"a route to two services", streamorigin.Knowledge{Services: []string{"engines", "other"}, Seen: versions("v1"), Ready: versions("v1")}, "", streamorigin.Unknown},
		{"no server", streamorigin.Knowledge{Services: one, Seen: versions("v1")}, "v1", streamorigin.Gone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			origin, verdict := streamorigin.Decide(tt.knowledge)
			require.Equal(t, tt.verdict, verdict)
			require.Equal(t, tt.software, origin.Software)
		})
	}
}
