package streamorigin

import (
	"fmt"
	"testing"
)

// BenchmarkBegin records streams while a service has two versions, in a table that is full.
func BenchmarkBegin(b *testing.B) {
	t := New(Config{
		MaxEntries: 4096,
	})
	o := Origin{
		Service: "s",
		Version: "v1",
	}
	t.ObserveUpstreams([]Origin{o, o.WithVersion("v2")})
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprint("r", i)
	}
	i := 0
	for b.Loop() {
		t.Begin(ids[i%len(ids)], o)
		i++
		if i%32 == 0 {
			t.TakeUnannounced()
		}
	}
}

// BenchmarkEntriesFor finds what a daemon of 340 tells a newcomer of the streams that it keeps at the two-year size.
func BenchmarkEntriesFor(b *testing.B) {
	t := New(Config{})
	var living []string
	for i := range 340 {
		living = append(living, fmt.Sprintf("10.1.%d.%d:8389/54cc957268baa056", i/250, i%250))
	}
	var list []Entry
	for i := range 3400 {
		list = append(list, Entry{
			RequestID: fmt.Sprint("r", i),
			Origin: Origin{
				Service: "s",
				Version: "v1",
			},
		})
	}
	t.Receive(list)
	for b.Loop() {
		t.EntriesFor(living[1], living[0], living)
	}
}
