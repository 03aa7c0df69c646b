package peer

import (
	"context"
	"net"
	"testing"

	"cactusspoke/internal/claim"
	"cactusspoke/internal/trace"

	"github.com/stretchr/testify/require"
)

// singleResponse stores the response to a single claimed request.
type singleResponse struct{ id claim.ID }

func (r singleResponse) Lookup(id claim.ID) (status int, contentType string, body []byte, found bool) {
	return 200, "application/json", []byte(`{}`), id == r.id
}

// TestStoredResponseAfterRefusedConnection checks that a call waits for a peer that
// refused connections while it was starting. A call that fails fast returns the
// earlier connection error until the backoff ends.
func TestStoredResponseAfterRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	id := claim.NewID("clinic", "returns-app", "van-1")
	clients := NewClients(&trace.Tracer{})
	t.Cleanup(clients.Close)

	_, err = clients.Usage(t.Context(), address, 1)
	require.Error(t, err, "the peer is not listening yet")

	ctx, cancel := context.WithCancel(t.Context())
	server := NewServer(address, Member{}, newTestGossip("b", 0), nil, nil, nil, singleResponse{id}, &trace.Tracer{})
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx) }()
	t.Cleanup(func() { cancel(); <-served })

	status, _, _, found, err := clients.StoredResponse(t.Context(), address, id)
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, 200, status)
}
