package reach

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		k    Knowledge
		want Verdict
	}{
		{"nothing tried", Knowledge{Servers: 3, Peers: 6}, Direct},
		{"all reachable", Knowledge{Up: 3, Servers: 3, Peers: 6}, Direct},
		{"one server failed", Knowledge{Down: 1, Servers: 3, Peers: 6}, Direct},
		{"one of three failed", Knowledge{Up: 2, Down: 1, Servers: 3, Peers: 6}, Direct},
		{"half failed", Knowledge{Up: 2, Down: 2, Servers: 12, Peers: 6}, Direct},
		{"all that were tried failed", Knowledge{Down: 2, Servers: 12, Peers: 6}, Relay},
		{"most failed", Knowledge{Up: 2, Down: 8, Servers: 12, Peers: 6}, Relay},
		{"the only server failed", Knowledge{Down: 1, Servers: 1, Peers: 6}, Relay},
		{"most failed for all instances", Knowledge{Up: 2, Down: 8, Servers: 12}, Direct},
		{"all failed for all instances", Knowledge{Down: 5, Servers: 12}, Refuse},
		{"no server is listed", Knowledge{Peers: 6}, Direct},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { require.Equal(t, test.want, Decide(test.k)) })
	}
}
