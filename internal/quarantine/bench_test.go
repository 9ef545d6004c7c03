package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// calmRequest does what a request costs on a day without ends: it is admitted, and the success of each key is noted.
func calmRequest(r *Registry, parts []string) {
	if r.Active() {
		return
	}
	for i, part := range parts {
		r.NoteSuccess(PartKey("engines", part, i))
	}
	r.NoteSuccess(ContentKey(calmContent))
}

var calmContent = Content{
	Service: "engines",
	Method:  "POST",
	Target:  "/answers/1",
	Body:    make([]byte, 2<<10),
}

var calmParts = []string{"5c1e07a2", "91bd3f06", "e4402b7d"}

// BenchmarkCalmRequest measures what a request costs on a day without ends.
func BenchmarkCalmRequest(b *testing.B) {
	r := New(Config{})
	b.ReportAllocs()
	for b.Loop() {
		calmRequest(r, calmParts)
	}
}

// TestCalmRequestAllocatesNothing guards against memory for requests on days without ends.
func TestCalmRequestAllocatesNothing(t *testing.T) {
	r := New(Config{})
	require.Zero(t, testing.AllocsPerRun(1000, func() { calmRequest(r, calmParts) }))
}
