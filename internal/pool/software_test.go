package pool

import (
	"testing"
	"testing/synctest"
	"time"

	"cactusspoke/internal/kv"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestSoftwareHistory checks what is published while versions come and leave.
func TestSoftwareHistory(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	registered := func(versions ...string) map[string][]string { return map[string][]string{"engines": versions} }
	h := softwareHistory{}.update(registered("v1"), now)
	require.Equal(t, softwareHistory{"engines": {"v1": 0}}, h)
	h = h.update(registered("v1", "v2"), now)
	require.Equal(t, softwareHistory{"engines": {"v1": 0, "v2": 0}}, h)
	h = h.update(nil, now)
	require.Equal(t, softwareHistory{"engines": {"v1": 0, "v2": 0}}, h, "no server is listed yet")
	h = h.update(registered("v2"), now)
	require.Equal(t, softwareHistory{"engines": {"v1": 1_000_000, "v2": 0}}, h)
	require.Equal(t, h, h.update(registered("v2"), now.Add(time.Minute)))
	require.Equal(t, softwareHistory{"engines": {"v2": 0}}, h.update(registered("v2"), now.Add(time.Hour)))
	require.Equal(t, softwareHistory{"engines": {"v1": 0, "v2": 0}}, h.update(registered("v1", "v2"), now), "it came back")
}

// TestSoftwareSeen checks which versions a process takes for those that may have begun a
// stream.
func TestSoftwareSeen(t *testing.T) {
	const within = time.Minute
	tests := []struct {
		name string
		play func(p *Pool)
		want []string
	}{
		{"just started, no history", func(*Pool) {}, nil},
		{"started long ago", func(*Pool) { time.Sleep(2 * within) }, []string{"v2"}},
		{"history says that only this one served", func(p *Pool) {
			p.mergeSoftware(softwareHistory{"engines": {"v2": 0}})
		}, []string{"v2"}},
		{"history says that another left lately", func(p *Pool) {
			p.mergeSoftware(softwareHistory{"engines": {"v1": time.Now().Add(-within / 2).UnixMilli(), "v2": 0}})
		}, []string{"v1", "v2"}},
		{"history says that another left long ago", func(p *Pool) {
			p.mergeSoftware(softwareHistory{"engines": {"v1": time.Now().Add(-2 * within).UnixMilli(), "v2": 0}})
		}, []string{"v2"}},
		{"another left while the process ran", func(p *Pool) {
			p.mergeSoftware(softwareHistory{"engines": {"v2": 0}})
			p.Reachable(true)
			time.Sleep(10 * time.Second)
			p.Apply([]kv.Item{{Key: "c", Value: []byte("v3")}})
			p.Apply([]kv.Item{{Key: "c", Deleted: true}})
			time.Sleep(within / 2)
		}, []string{"v2", "v3"}},
		{"a version that history had as present is gone", func(p *Pool) {
			p.mergeSoftware(softwareHistory{"engines": {"v1": 0, "v2": 0}})
		}, []string{"v1", "v2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				decode := func(key string, value []byte) (Server, error) {
					return Server{ID: key, Service: "engines", Software: string(value)}, nil
				}
				p := New(decode, zap.NewNop(), func() {})
				p.Reset([]kv.Item{{Key: "a", Value: []byte("v2")}})
				tt.play(p)
				require.Equal(t, tt.want, p.SoftwareSeen([]string{"engines"}, within)["engines"])
			})
		})
	}
}
