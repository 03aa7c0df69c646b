package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cactusspoke/internal/fleet"
	"cactusspoke/internal/platform"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// warm is a time after the slow start of servers that are first seen at start.
var warm = start.Add(time.Minute)

func listed(states ...string) []platform.Instance {
	var list []platform.Instance
	for i, state := range states {
		list = append(list, platform.NewInstance(platform.WireInstance{
			Name: fmt.Sprint(i), Role: "backend", Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), State: state,
		}))
	}
	return list
}

func load(id string, incarnation uint32, sequence uint64, running int, at time.Time) fleet.Load {
	return fleet.NewLoad(id, incarnation, sequence, running, 0, 10, 1, false, at)
}

func one(t *testing.T, f *fleet.Fleet, now time.Time) fleet.Server {
	t.Helper()
	servers := f.Servers(now, "s", 10)
	require.Len(t, servers, 1)
	return servers[0]
}

func TestFleet(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, f *fleet.Fleet)
	}{
		{"the estimate adds requests started and subtracts requests ended since the report", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live"))
			require.True(t, f.BeginRequest(warm, "0"))
			f.UpdateLoad(warm.Add(2*time.Second), load("0", 1, 1, 5, warm.Add(time.Second)))
			require.InDelta(t, 5, one(t, f, warm.Add(2*time.Second)).EstimatedLoad(), 0)
			require.True(t, f.BeginRequest(warm.Add(3*time.Second), "0"))
			require.True(t, f.BeginRequest(warm.Add(3*time.Second), "0"))
			require.InDelta(t, 7, one(t, f, warm.Add(3*time.Second)).EstimatedLoad(), 0)
			f.EndRequest(warm.Add(4*time.Second), "0", fleet.Succeeded)
			require.InDelta(t, 6, one(t, f, warm.Add(4*time.Second)).EstimatedLoad(), 0)
		}},
		{"an older report is ignored", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live"))
			require.True(t, f.UpdateLoad(warm, load("0", 1, 7, 5, warm)))
			require.False(t, f.UpdateLoad(warm, load("0", 1, 6, 1, warm)))
			require.False(t, f.UpdateLoad(warm, load("0", 9, 99, 1, start)))
		}},
		{"a server stays leaving until it reports a new incarnation", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live"))
			f.UpdateLoad(warm, load("0", 1, 1, 0, warm))
			f.UpdateInstances(warm, listed("leaving"))
			f.UpdateInstances(warm, listed("live"))
			require.Empty(t, f.Servers(warm, "s", 10))
			require.False(t, f.BeginRequest(warm, "0"))
			f.UpdateLoad(warm, load("0", 2, 1, 0, warm.Add(time.Second)))
			require.Len(t, f.Servers(warm, "s", 10), 1)
		}},
		{"an unlisted server gets no new requests and is removed after its last request ends", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live"))
			require.True(t, f.BeginRequest(warm, "0"))
			f.UpdateInstances(warm, nil)
			require.False(t, f.BeginRequest(warm, "0"))
			f.EndRequest(warm, "0", fleet.Succeeded)
			f.UpdateInstances(warm, nil)
			require.Empty(t, f.AllServers(warm))
		}},
		{"three failures eject a server, but at least half stay available", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live", "live", "live"))
			for _, id := range []string{"0", "1", "2"} {
				for range 3 {
					require.True(t, f.BeginRequest(warm, id))
					f.EndRequest(warm, id, fleet.ServerFailed)
				}
			}
			require.Len(t, f.Servers(warm, "s", 10), 2)
			require.Len(t, f.Servers(warm.Add(2*time.Second), "s", 10), 3)
		}},
		{"a new server starts slowly", func(t *testing.T, f *fleet.Fleet) {
			f.UpdateInstances(start, listed("live"))
			require.Equal(t, 2, one(t, f, start).Slots())
			require.Equal(t, 10, one(t, f, warm).Slots())
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { test.run(t, fleet.New(nil)) })
	}
}
