package membership

import (
	"fmt"
	"testing"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// discardConn is a Conn that discards all messages.
type discardConn struct{}

func (discardConn) Send(*peerpb.LinkMessage) bool { return true }
func (discardConn) Close()                        {}

// newFilledTable returns a table of n members with links to a few of them.
func newFilledTable(n, links int) *Table {
	member := func(i int) Member {
		addr := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250+1)
		return Member{
			Incarnation: addr + "/0123456789abcdef",
			PeerAddr:    addr,
			CallerAddr:  addr,
			DataCentre:  fmt.Sprintf("r%d/dc%d", i%3, i%10),
			State:       Alive,
			Version:     1,
		}
	}
	t := New(Config{
		Self: member(0),
	})
	for i := 1; i < n; i++ {
		t.merge(member(i).rumor())
	}
	for i := 1; i <= min(links, n-1); i++ {
		t.OpenLink(discardConn{}, true).Receive(&peerpb.LinkMessage{
			Heartbeat: &peerpb.Heartbeat{
				Incarnation: member(i).Incarnation,
			},
		})
	}
	t.SetProgress(1, 1)
	return t
}

func BenchmarkTable(b *testing.B) {
	for _, n := range []int{5, 85, 340} {
		t := newFilledTable(n, 8)
		b.Run(fmt.Sprintf("resolve/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				t.Resolve(fmt.Sprint(i), "r1/dc1")
			}
		})
		b.Run(fmt.Sprintf("beat/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				t.mu.Lock()
				t.sendHeartbeats(time.Now())
				t.mu.Unlock()
			}
		})
		b.Run(fmt.Sprintf("change/members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			m := t.Members()[n-1]
			for i := range b.N {
				m = m.WithVersion(m.Version + 1).WithState(Alive + State(i%3))
				t.mu.Lock()
				t.flood(t.merge(m.rumor()), nil)
				t.choose()
				t.mu.Unlock()
			}
		})
	}
}
