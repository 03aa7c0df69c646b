package forward_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"cactusspoke/internal/backendserver"
	"cactusspoke/internal/fleet"
	"cactusspoke/internal/platform"
	"cactusspoke/internal/web"

	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/stretchr/testify/require"
)

// startFixedStreamServer starts a server that sends the same stream in response
// to every request and returns its address.
func startFixedStreamServer(b *testing.B, chunks int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	event := `data: {"id":"chatcmpl-1","object":"chat.completion.chunk","created":1,"model":"m","system_fingerprint":"e:1","choices":[{"index":0,"delta":{"content":"tok "},"finish_reason":null}]}` + "\n\n"
	var body bytes.Buffer
	for range chunks {
		fmt.Fprintf(&body, "%x\r\n%s\r\n", len(event), event)
	}
	end := "data: [DONE]\n\n"
	fmt.Fprintf(&body, "%x\r\n%s\r\n0\r\n\r\n", len(end), end)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: one\r\nTransfer-Encoding: chunked\r\n\r\n"
	answer := append([]byte(head), body.Bytes()...)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveFixedStream(conn, answer)
		}
	}()
	return l.Addr().String()
}

func serveFixedStream(conn net.Conn, answer []byte) {
	defer func() { _ = conn.Close() }()
	request := make([]byte, 4096)
	for {
		if _, err := conn.Read(request); err != nil {
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// BenchmarkChunk measures the cost of reading one event of an engine's stream.
func BenchmarkChunk(b *testing.B) {
	for _, chunks := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("chunks=%d", chunks), func(b *testing.B) {
			address := startFixedStreamServer(b, chunks)
			http, err := web.NewClient(0)
			require.NoError(b, err)
			client := backendserver.New(http)
			f := fleet.New(nil)
			f.UpdateInstances(time.Now(), []platform.Instance{platform.NewInstance(platform.WireInstance{
				Name: "e", Role: "backend", Service: "s", Address: address, State: "live",
			})})
			server := f.Servers(time.Now(), "s", 1)[0]
			attempt := backendserver.NewAttempt("one", "POST", "/v1/chat/completions", "application/json", nil, []byte(`{}`), "", "", "")
			b.ReportAllocs()
			for b.Loop() {
				readStream(b, client, server, attempt, chunks)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*chunks), "ns/chunk")
		})
	}
}

func readStream(b *testing.B, client *backendserver.Client, server fleet.Server, attempt backendserver.Attempt, chunks int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	answer, err := client.Send(ctx, server, attempt)
	require.NoError(b, err)
	event := sse.NewEvent()
	defer event.Release()
	seen := 0
	for string(event.Data) != backendserver.EndOfStream {
		require.NoError(b, answer.Next(event))
		seen++
	}
	require.Equal(b, chunks+1, seen)
	answer.Close()
}
