package e2e

import (
	"fmt"
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"cactusspoke/internal/lab"

	"github.com/stretchr/testify/require"
)

// TestEndToEnd checks requests, training steps, a key withdrawal, usage accounting and
// tracing in a deployment without faults.
func TestEndToEnd(t *testing.T) {
	c := startCluster(t)

	t.Run("complete and streamed answers", func(t *testing.T) {
		a := c.chat("entry-0", "clinic")
		require.Equal(t, 200, a.status)
		require.Contains(t, string(a.body), `"finish_reason":"stop"`)
		body := []byte(`{"model":"route-llm","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"x"}]}`)
		a = c.send("POST", c.url("entry-1", "/v1/chat/completions"), c.keys["clinic"], body)
		require.True(t, strings.HasSuffix(strings.TrimSpace(string(a.body)), "data: [DONE]"))
		require.NotContains(t, string(a.body), `"usage"`, "the caller did not ask for usage")
	})

	t.Run("a booking runs once through any instance", func(t *testing.T) {
		for _, entry := range []string{"entry-0", "entry-1", "entry-2", "entry-0"} {
			a := c.book(entry, "clinic", "van-1")
			require.Equal(t, 200, a.status, string(a.body))
		}
		require.Equal(t, 1, c.bookingRuns("van-1"))
		other := c.send("POST", c.url("entry-0", "/v1/services/returns-app/bookings"), c.keys["clinic"],
			[]byte(`{"booking":"van-2"}`), "Idempotency-Key", "van-1")
		require.Equal(t, "idempotency-key-reused", other.errorKind())
	})

	t.Run("an idempotency key is scoped to its customer", func(t *testing.T) {
		a := c.book("entry-0", "caterer", "van-1")
		require.Equal(t, 200, a.status)
		require.Equal(t, 2, c.bookingRuns("van-1"), "the same idempotency key of another customer is a separate request")
	})

	t.Run("invalid requests are refused as not run", func(t *testing.T) {
		tests := []struct {
			name, path, key, body, kind string
			status                      int
		}{
			{"no key", "/v1/chat/completions", "", `{"model":"route-llm"}`, "unauthenticated", 401},
			{"unknown key", "/v1/chat/completions", "ck-x-y", `{"model":"route-llm"}`, "unauthenticated", 401},
			{"not JSON", "/v1/chat/completions", c.keys["clinic"], `{"model":`, "bad-request", 400},
			{"no prompt", "/v1/chat/completions", c.keys["clinic"], `{"model":"route-llm"}`, "bad-request", 400},
			{"unknown service", "/v1/chat/completions", c.keys["clinic"], `{"model":"none","messages":[]}`, "unknown-service", 404},
			{"plain service as a model", "/v1/chat/completions", c.keys["clinic"], `{"model":"returns-app","messages":[]}`, "unknown-service", 404},
			{"unknown route", "/v1/services/returns-app/elsewhere", c.keys["clinic"], `{}`, "unknown-route", 404},
			{"no such path", "/v2/anything", c.keys["clinic"], `{}`, "unknown-route", 404},
			{"key in the body", "/v1/services/returns-app/bookings", c.keys["clinic"], `{"note":"` + c.keys["clinic"] + `"}`, "bad-request", 400},
			{"over the limit", "/v1/services/returns-app/bookings", c.keys["clinic"], strings.Repeat("x", 3<<20), "too-large", 413},
		}
		for _, test := range tests {
			t.Run(test.name, func(t *testing.T) {
				a := c.send("POST", c.url("entry-0", test.path), test.key, []byte(test.body))
				require.Equal(t, test.kind, a.errorKind(), string(a.body))
				require.Equal(t, test.status, a.status)
				require.Equal(t, "no", a.header.Get("X-Ran"))
			})
		}
	})

	t.Run("a trainer completes its steps", func(t *testing.T) {
		trainer, err := lab.NewTrainer(lab.TrainerOptions{
			Entries: []string{c.addresses["entry-0"], c.addresses["entry-1"]}, Key: c.keys["caterer"], Service: "route-llm",
			Weights: c.addresses["weight-store"], Steps: 3, Groups: 4, Samples: 3, MaxTokens: 8, FirstStep: 1,
		})
		require.NoError(t, err)
		result, err := trainer.Run(t.Context())
		require.NoError(t, err)
		require.Equal(t, 3, result.Steps)
		require.Equal(t, 36, result.Samples)
		require.Zero(t, result.DeliveredTwice)
		require.Zero(t, result.TooOld)
	})

	t.Run("a withdrawn key is refused by every instance", func(t *testing.T) {
		out := c.mustRun("key", "withdraw", "--settings", c.settingsPath("entry-1"), "--customer", "clinic", c.keys["clinic"])
		require.Contains(t, out, "withdrawn")
		for _, entry := range []string{"entry-0", "entry-1", "entry-2"} {
			c.eventually(entry+" refuses", func() bool { return c.chat(entry, "clinic").errorKind() == "key-withdrawn" })
		}
	})

	t.Run("the usage account matches the caller's answers exactly", func(t *testing.T) {
		delete(c.expectedUsage, "refused:unauthenticated")
		got := map[string]int{}
		defer func() { require.Equal(t, c.expectedUsage, got) }()
		c.eventually("the reported windows contain every request", func() bool {
			var s struct {
				Windows map[string]string `json:"windows"`
			}
			c.readSeen("usage", &s)
			clear(got)
			for _, sealed := range s.Windows {
				addUsageCounts(t, sealed, "clinic", got)
			}
			return maps.Equal(c.expectedUsage, got)
		})
		require.Contains(t, c.mustRun("account", "--settings", c.settingsPath("entry-0")), `"figures"`)
	})

	t.Run("no backend server received a key", func(t *testing.T) {
		for _, name := range []string{"route-llm-0", "route-llm-1", "route-llm-2", "returns-app-0", "returns-app-1"} {
			var s struct {
				KeysSeen int `json:"keys-seen"`
			}
			c.readSeen(name, &s)
			require.Zero(t, s.KeysSeen, name)
		}
	})

	t.Run("each hop is traced", func(t *testing.T) {
		booked := 0
		c.eventually("spans are written", func() bool {
			// While an instance cannot reach the owner of a claim, as after a start, it commits the
			// claim itself. So book until a claim went to a peer.
			a := c.book(fmt.Sprintf("entry-%d", booked%3), "caterer", fmt.Sprintf("traced-%d", booked))
			require.Equal(t, 200, a.status, string(a.body))
			booked++
			out, err := filepath.Glob(filepath.Join(c.folder, "entry-*.trace"))
			return err == nil && len(out) == 3 && hasSpans(t, out, "caller POST", "queue", "attempt", "peer /cactusspoke.peer.v1.Peer/Claim")
		})
	})

	require.Empty(t, c.violations())
}
