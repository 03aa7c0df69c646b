package peer

import (
	"context"
	"net"
	"testing"

	"cactusspoke/internal/claim"
	"cactusspoke/internal/trace"

	"github.com/stretchr/testify/require"
)

// oneAnswer holds the answer of a single claimed request.
type oneAnswer struct{ id claim.ID }

func (a oneAnswer) Lookup(id claim.ID) (status int, contentType string, body []byte, found bool) {
	return 200, "application/json", []byte(`{}`), id == a.id
}

// TestStoredAnswerAfterRefusedConnection asserts that a peer which refused
// connections before it listened is asked again at once, and not after the
// connection's backoff.
func TestStoredAnswerAfterRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	id := claim.NewID("clinic", "returns-app", "van-1")
	clients := NewClients(&trace.Tracer{})
	t.Cleanup(clients.Close)

	_, err = clients.Usage(t.Context(), address, 1)
	require.Error(t, err, "nobody listens yet")

	ctx, cancel := context.WithCancel(t.Context())
	server := NewServer(address, Member{}, newTestMesh("b", 0), nil, nil, nil, oneAnswer{id}, &trace.Tracer{})
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })

	status, _, _, found, err := clients.StoredAnswer(t.Context(), address, id)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, 200, status)
}
