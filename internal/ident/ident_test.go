package ident_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/ident"
)

func TestIssuedKeyRoundTrip(t *testing.T) {
	owner := ident.NewIncarnation("127.0.0.1:7000")
	key := ident.NewIssuedKey(owner, time.UnixMilli(1700000000123))
	got, err := ident.ParseIssuedKey(key.String())
	require.NoError(t, err)
	require.Equal(t, key, got)
	require.Equal(t, "127.0.0.1:7000", ident.PeerAddr(got.Owner))
	require.NotEqual(t, key.String(), ident.NewIssuedKey(owner, key.Issued).String())
}

func TestParseIssuedKeyRejectsMalformedKeys(t *testing.T) {
	key := ident.NewIssuedKey(ident.NewIncarnation("127.0.0.1:7000"), time.UnixMilli(5)).String()
	for _, bad := range []string{"sk1.", key[:10], "sk1.!!.5.aa", "sk1.YQ.x.aa", "sk1.YQ.5.", "other"} {
		_, err := ident.ParseIssuedKey(bad)
		var keyErr *ident.MalformedKeyError
		require.ErrorAs(t, err, &keyErr, "ParseIssuedKey(%q)", bad)
	}
}
