package e2e

import (
	"maps"
	"path/filepath"
	"strings"
	"testing"

	"cactusspoke/internal/lab"

	"github.com/stretchr/testify/require"
)

// TestWholePath takes requests, steps and a withdrawal through real processes.
func TestWholePath(t *testing.T) {
	c := start(t)

	t.Run("whole and streamed answers", func(t *testing.T) {
		a := c.chat("entry-0", "clinic")
		require.Equal(t, 200, a.status)
		require.Contains(t, string(a.body), `"finish_reason":"stop"`)
		body := []byte(`{"model":"route-llm","stream":true,"max_tokens":9,"messages":[{"role":"user","content":"x"}]}`)
		a = c.send("POST", c.url("entry-1", "/v1/chat/completions"), c.keys["clinic"], body)
		require.True(t, strings.HasSuffix(strings.TrimSpace(string(a.body)), "data: [DONE]"))
		require.NotContains(t, string(a.body), `"usage"`, "the caller did not ask for usage")
	})

	t.Run("a booking runs once wherever it is sent", func(t *testing.T) {
		for _, entry := range []string{"entry-0", "entry-1", "entry-2", "entry-0"} {
			a := c.book(entry, "clinic", "van-1")
			require.Equal(t, 200, a.status, string(a.body))
		}
		require.Equal(t, 1, c.runs("van-1"))
		other := c.send("POST", c.url("entry-0", "/v1/services/returns-app/bookings"), c.keys["clinic"],
			[]byte(`{"booking":"van-2"}`), "Idempotency-Key", "van-1")
		require.Equal(t, "idempotency-key-reused", other.kind())
	})

	t.Run("keys of one customer do not reach another's answers", func(t *testing.T) {
		a := c.book("entry-0", "caterer", "van-1")
		require.Equal(t, 200, a.status)
		require.Equal(t, 2, c.runs("van-1"), "the same key of another customer is another request")
	})

	t.Run("refusals come from the table and touch no backend server", func(t *testing.T) {
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
				require.Equal(t, test.kind, a.kind(), string(a.body))
				require.Equal(t, test.status, a.status)
				require.Equal(t, "no", a.header.Get("X-Ran"))
			})
		}
	})

	t.Run("a trainer gets its steps", func(t *testing.T) {
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

	t.Run("a withdrawn key stops everywhere and its history stays", func(t *testing.T) {
		out := c.must("key", "withdraw", "--settings", c.settings("entry-1"), "--customer", "clinic", c.keys["clinic"])
		require.Contains(t, out, "withdrawn")
		for _, entry := range []string{"entry-0", "entry-1", "entry-2"} {
			c.eventually(entry+" refuses", func() bool { return c.chat(entry, "clinic").kind() == "key-withdrawn" })
		}
	})

	t.Run("the account equals what the caller saw, to the request", func(t *testing.T) {
		delete(c.record, "refused:unauthenticated")
		got := map[string]int{}
		defer func() { require.Equal(t, c.record, got) }()
		c.eventually("the reported windows hold every request", func() bool {
			var s struct {
				Windows map[string]string `json:"windows"`
			}
			c.seen("usage", &s)
			clear(got)
			for _, sealed := range s.Windows {
				addFigures(t, sealed, "clinic", got)
			}
			return maps.Equal(c.record, got)
		})
		require.Contains(t, c.must("account", "--settings", c.settings("entry-0")), `"figures"`)
	})

	t.Run("no backend server saw a key", func(t *testing.T) {
		for _, name := range []string{"route-llm-0", "route-llm-1", "route-llm-2", "returns-app-0", "returns-app-1"} {
			var s struct {
				KeysSeen int `json:"keys-seen"`
			}
			c.seen(name, &s)
			require.Zero(t, s.KeysSeen, name)
		}
	})

	t.Run("each hop has a span", func(t *testing.T) {
		c.eventually("spans are written", func() bool {
			out, err := filepath.Glob(filepath.Join(c.folder, "entry-*.trace"))
			return err == nil && len(out) == 3 && hasSpans(t, out, "caller POST", "queue", "attempt", "peer /cactusspoke.peer.v1.Peer/Claim")
		})
	})

	require.Empty(t, c.violations())
}
