package operatorclient_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/operatorclient"
	"sequoiafork/internal/wire/operatorapi"
)

// A response without end must not be collected in memory. The outcome of a command that gets one is
// unknown.
func TestEndlessResponses(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		text := bytes.Repeat([]byte(" "), 4<<10)
		for written := 0; written < 64<<20; written += len(text) {
			if _, err := w.Write(text); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	client, err := operatorclient.New(operatorclient.Config{
		Addrs:            []string{server.Listener.Addr().String()},
		MaxResponseBytes: 16 << 10,
	})
	require.NoError(t, err)
	list := func(ctx context.Context, c *operatorapi.Client) error {
		_, err := c.ListHosts(ctx)
		return err
	}
	var tooLong *httplimit.TooLongError
	require.ErrorAs(t, client.Query(t.Context(), list), &tooLong)
	err = client.Command(t.Context(), list)
	require.ErrorAs(t, err, &tooLong)
	var lost *operatorclient.LostResponseError
	require.ErrorAs(t, err, &lost)
}
