package admission

import (
	"context"
	"testing"
	"time"

	"sequoiafork/internal/table"
)

func BenchmarkAcquire(b *testing.B) {
	c := New(Config{})
	r := Request{
		Pool: &table.Pool{
			Name: "p",
		},
		Slots:     8,
		Workspace: "w",
		Deadline:  time.Now().Add(time.Hour),
	}
	b.ReportAllocs()
	for b.Loop() {
		slot, err := c.Acquire(context.Background(), r)
		if err != nil {
			b.Fatal(err)
		}
		slot.Release()
	}
}
