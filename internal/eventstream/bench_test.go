package eventstream

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"
)

// BenchmarkNext reads one event of the size that engines send.
func BenchmarkNext(b *testing.B) {
	const events = 1000
	text := bytes.Repeat([]byte("id: 1234\ndata: {\"text\":\"some words of an answer\"}\n\n"), events)
	b.ReportAllocs()
	for i := 0; b.Loop(); i += events {
		r := newTestReader(bytes.NewReader(text))
		for range events {
			_, err := r.Next()
			require.NoError(b, err)
		}
	}
}
