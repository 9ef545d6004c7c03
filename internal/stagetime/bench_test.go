package stagetime

import (
	"testing"
	"time"
)

func BenchmarkObserve(b *testing.B) {
	t := New(Config{})
	b.ReportAllocs()
	for b.Loop() {
		t.Observe("route/stage", 35*time.Millisecond)
	}
}

func BenchmarkQuantile(b *testing.B) {
	t := New(Config{})
	for i := range 1000 {
		t.Observe("route/stage", time.Duration(i)*time.Millisecond)
	}
	b.ReportAllocs()
	for b.Loop() {
		t.Quantile("route/stage", 0.95)
	}
}
