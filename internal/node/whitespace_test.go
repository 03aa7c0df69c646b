package node_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestWhitespaceAroundValues guards against refusing a request whose headers have the optional
// white space that HTTP/1.1 allows around values.
func TestWhitespaceAroundValues(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 0)
	c.putConfig(1, nil)
	c.waitReady()
	for i, value := range []string{"x", " x", "\tx", "x ", "x\t", " \tx y\t ", ""} {
		conn, err := net.Dial("tcp4", c.entries[0].settings.FrontAddress)
		require.NoError(t, err)
		id := fmt.Sprintf("w-%d", i)
		_, err = fmt.Fprintf(conn, "POST /safe/x HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Note:%s\r\nAuthorization: Bearer %s\r\nContent-Length: 0\r\n\r\n", host, id, value, key)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode, "%q", value)
		require.NoError(t, conn.Close())
	}
}
