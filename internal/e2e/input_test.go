package e2e

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"
)

// TestClientInput checks requests of the OpenAI client library, unusual bodies and
// malformed requests.
func TestClientInput(t *testing.T) {
	c := startCluster(t)

	t.Run("the OpenAI client library", func(t *testing.T) {
		api := openai.NewClient(option.WithBaseURL(c.url("entry-0", "/v1/")), option.WithAPIKey(c.keys["clinic"]), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{
			Model: "route-llm", MaxTokens: openai.Int(12),
			Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("two packs, naïve façade 冷却")},
		}
		whole, err := api.Chat.Completions.New(t.Context(), params)
		require.NoError(t, err)
		require.NotEmpty(t, whole.Choices[0].Message.Content)
		require.Positive(t, whole.Usage.CompletionTokens)

		stream := api.Chat.Completions.NewStreaming(t.Context(), params)
		var all openai.ChatCompletionAccumulator
		for stream.Next() {
			require.True(t, all.AddChunk(stream.Current()))
		}
		require.NoError(t, stream.Err())
		require.Equal(t, whole.Choices[0].Message.Content, all.Choices[0].Message.Content)

		params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
		stream = api.Chat.Completions.NewStreaming(t.Context(), params)
		usage := int64(0)
		for stream.Next() {
			usage = max(usage, stream.Current().Usage.CompletionTokens)
		}
		require.NoError(t, stream.Err())
		require.Equal(t, whole.Usage.CompletionTokens, usage, "usage is returned when the caller asks for it")

		models, err := api.Models.List(t.Context())
		require.NoError(t, err)
		require.Equal(t, "route-llm", models.Data[0].ID)

		wrong := openai.NewClient(option.WithBaseURL(c.url("entry-0", "/v1/")), option.WithAPIKey("ck-no-such"), option.WithMaxRetries(0))
		_, err = wrong.Chat.Completions.New(t.Context(), params)
		var refused *openai.Error
		require.ErrorAs(t, err, &refused)
		require.Equal(t, 401, refused.StatusCode)
	})

	t.Run("a body is forwarded unchanged, including unknown fields and large text", func(t *testing.T) {
		large := strings.Repeat("é冷 ", 1<<17)
		body := `{"model":"route-llm","max_tokens":2,"future_field":{"a":[1,2.50,null]},"tools":[{"type":"function","function":{"name":"book"}}],` +
			`"messages":[{"role":"user","content":[{"type":"text","text":"` + large + `"},{"type":"image_url","image_url":{"url":"data:,x"}}]}]}`
		require.Equal(t, 200, c.send("POST", c.url("entry-1", "/v1/chat/completions"), c.keys["clinic"], []byte(body)).status)
		found := false
		for i := range 3 {
			var s struct {
				LastBody string `json:"last-body"`
			}
			c.readSeen(fmt.Sprintf("route-llm-%d", i), &s)
			found = found || s.LastBody == body
		}
		require.True(t, found, "an engine received the body byte for byte")
	})

	t.Run("the caller's stream options are kept when usage is added", func(t *testing.T) {
		body := `{"model":"route-llm","max_tokens":2,"stream":true,"stream_options":{"x":1},"messages":[{"role":"user","content":"q"}],"unknown":true}`
		require.Equal(t, 200, c.send("POST", c.url("entry-1", "/v1/chat/completions"), c.keys["clinic"], []byte(body)).status)
		found := false
		for i := range 3 {
			var s struct {
				LastBody string `json:"last-body"`
			}
			c.readSeen(fmt.Sprintf("route-llm-%d", i), &s)
			sent := gjson.Parse(s.LastBody)
			found = found || (sent.Get("stream_options.x").Int() == 1 && sent.Get("unknown").Bool() && sent.Get("stream_options.include_usage").Bool())
		}
		require.True(t, found)
	})

	t.Run("a request with an incomplete body is not forwarded", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.addresses["entry-0"])
		require.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /v1/services/returns-app/bookings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 1000\r\n\r\n{\"booking\":\"half\"", c.keys["clinic"])
		require.NoError(t, err)
		time.Sleep(300 * time.Millisecond)
		require.NoError(t, conn.Close())
		require.Zero(t, c.bookingRuns("half"))
		require.Equal(t, 200, c.chat("entry-0", "clinic").status)
	})

	t.Run("a body over the size limit is refused", func(t *testing.T) {
		conn, err := net.Dial("tcp", c.addresses["entry-0"])
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 1<<40)
		require.NoError(t, err)
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitTimeout)))
		line, err := bufio.NewReader(conn).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, line, "413")
	})
}
