package upstream

import (
	"fmt"
	"testing"
	"time"

	"sequoiafork/internal/table"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{5, 50, 630} {
		for _, affinity := range []uint64{0, 7} {
			b.Run(fmt.Sprintf("upstreams=%d/affinity=%d", n, affinity), func(b *testing.B) {
				s := New(Config{
					DataCentre: "a",
				})
				s.Replace(hosts(n))
				p := &table.Pool{
					Name:        "p",
					Service:     "s",
					Concurrency: 4,
				}
				b.ReportAllocs()
				for b.Loop() {
					s.Capacity(p)
					c, err := s.Pick(Request{
						Pool:     p,
						Affinity: affinity,
					})
					if err != nil {
						b.Fatal(err)
					}
					c.Done(Result{
						Outcome: OK,
						Latency: time.Millisecond,
					})
				}
			})
		}
	}
}

// BenchmarkPickVersion picks for streams that stay at a version that every fifth upstream has.
func BenchmarkPickVersion(b *testing.B) {
	for _, affinity := range []uint64{0, 7} {
		b.Run(fmt.Sprintf("upstreams=50/affinity=%d", affinity), func(b *testing.B) {
			s := New(Config{
				DataCentre: "a",
			})
			list := hosts(50)
			for i := range list {
				list[i].Version = fmt.Sprint("v", i%5)
			}
			s.Replace(list)
			r := Request{
				Pool:       pool(),
				Affinity:   affinity,
				Version:    "v3",
				PinVersion: true,
			}
			b.ReportAllocs()
			for b.Loop() {
				c, err := s.Pick(r)
				if err != nil {
					b.Fatal(err)
				}
				c.Done(Result{
					Outcome: OK,
					Latency: time.Millisecond,
				})
			}
		})
	}
}

// BenchmarkPickWeighted picks by affinity where data centres have weights.
func BenchmarkPickWeighted(b *testing.B) {
	s := New(Config{
		DataCentre: "a",
	})
	s.Replace(hosts(50))
	r := Request{
		Pool: pool(),
		DataCentreWeights: map[string]float64{
			"a": 2.5,
			"b": 0.4,
		},
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Affinity++
		c, err := s.Pick(r)
		if err != nil {
			b.Fatal(err)
		}
		c.Done(Result{
			Outcome: OK,
			Latency: time.Millisecond,
		})
	}
}

func hosts(n int) []Host {
	list := make([]Host, n)
	for i := range list {
		list[i] = Host{
			Addr:       fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			DataCentre: string(rune('a' + i%3)),
			Service:    "s",
		}
	}
	return list
}
