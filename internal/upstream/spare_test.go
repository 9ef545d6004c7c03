package upstream

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

var sparePool = &table.Pool{
	Service:     "s",
	Concurrency: 4,
}

// spareSet returns a set of four upstreams, of which two run on one host.
func spareSet() *Set {
	s := New(Config{
		Seed: 1,
	})
	var hosts []Host
	for _, addr := range []string{"10.0.0.1:80", "10.0.0.1:81", "10.0.0.2:80", "10.0.0.3:80"} {
		hosts = append(hosts, Host{
			Addr:    addr,
			Service: "s",
		})
	}
	s.Replace(hosts)
	return s
}

// TestSpareUpstreams guards against attempts that are not necessary at the host of the first attempt, or at upstreams
// that are leaving, ejected, dead, full or have a queue, and against a last resort for them.
func TestSpareUpstreams(t *testing.T) {
	for name, c := range map[string]struct {
		change func(s *Set)
		spare  bool
	}{
		"free": {
			change: func(*Set) {},
			spare:  true,
		},
		"leaving": {
			change: func(s *Set) { s.OverrideState("10.0.0.3:80", Leaving, "test") },
		},
		"ejected": {
			change: func(s *Set) { s.OverrideState("10.0.0.3:80", Suspect, "test") },
		},
		"dead": {
			change: func(s *Set) { s.OverrideState("10.0.0.3:80", Dead, "test") },
		},
		"reports a queue": {
			change: func(s *Set) {
				reportLoad(s, "10.0.0.3:80", &Load{
					Queued:   1,
					Capacity: 4,
				})
			},
		},
		"full": {
			change: func(s *Set) {
				reportLoad(s, "10.0.0.3:80", &Load{
					InFlight: 4,
					Capacity: 4,
				})
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := spareSet()
				c.change(s)
				time.Sleep(defaultProbeMin + time.Millisecond) // A dead upstream may be tried again by then.
				choice, err := s.Pick(Request{
					Pool:       sparePool,
					Exclude:    []string{"10.0.0.1:80", "10.0.0.2:80"},
					PinVersion: true,
					MaxDelay:   time.Hour,
					Spare:      true,
				})
				if c.spare {
					require.NoError(t, err)
					require.Equal(t, "10.0.0.3:80", choice.Addr)
					return
				}
				var none *NoUpstreamError
				require.ErrorAs(t, err, &none)
			})
		})
	}
}

// reportLoad makes an upstream report its load.
func reportLoad(s *Set, addr string, l *Load) {
	var exclude []string
	for i := range 3 {
		for _, port := range []int{80, 81} {
			if other := fmt.Sprintf("10.0.0.%d:%d", i+1, port); other != addr {
				exclude = append(exclude, other)
			}
		}
	}
	choice, err := s.Pick(Request{
		Pool:    sparePool,
		Exclude: exclude,
	})
	if err == nil {
		choice.Done(Result{
			Outcome: OK,
			Latency: time.Millisecond,
			Load:    l,
		})
	}
}

// TestHostOf guards against a deployment on one host in which no attempt counts as being on another host.
func TestHostOf(t *testing.T) {
	require.Equal(t, hostOf("10.0.0.1:80"), hostOf("10.0.0.1:81"))
	require.NotEqual(t, hostOf("10.0.0.1:80"), hostOf("10.0.0.2:80"))
	require.Equal(t, hostOf("[2001:db8::1]:80"), hostOf("[2001:db8::1]:81"))
	require.NotEqual(t, hostOf("127.0.0.1:80"), hostOf("127.0.0.1:81"))
	require.NotEqual(t, hostOf("[::1]:80"), hostOf("[::1]:81"))
}

// TestSpareCapacity guards against a pool that counts as free while it is full or requests wait, and against reports
// that count for ever.
func TestSpareCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := spareSet()
		require.Equal(t, Spare{
			Slots: 16,
			Free:  16,
		}, s.Spare(sparePool))
		var choices []Choice
		for range 15 {
			choice, err := s.Pick(Request{
				Pool: sparePool,
			})
			require.NoError(t, err)
			choices = append(choices, choice)
		}
		require.LessOrEqual(t, s.Spare(sparePool).Free, 1+s.Spare(sparePool).Queued)
		for _, c := range choices {
			c.Done(Result{
				Outcome: Cancelled,
			})
		}
		reportLoad(s, "10.0.0.2:80", &Load{
			InFlight: 4,
			Queued:   3,
			Capacity: 4,
			Pace:     2,
		})
		spare := s.Spare(sparePool)
		require.Equal(t, 3, spare.Queued)
		require.Equal(t, 12, spare.Free)
		choice, err := s.Pick(Request{
			Pool:    sparePool,
			Exclude: []string{"10.0.0.1:80", "10.0.0.1:81", "10.0.0.3:80"},
		})
		require.NoError(t, err)
		require.Equal(t, ReportedLoad{
			Pace:   2,
			Queued: 4,
			Slots:  4,
		}, choice.ReportedLoad(sparePool))
		choice.Done(Result{
			Outcome: Cancelled,
		})
		time.Sleep(time.Hour)
		require.Equal(t, 16, s.Spare(sparePool).Free)
		require.Zero(t, s.Spare(sparePool).Queued)
		require.Zero(t, choice.ReportedLoad(sparePool).Pace)
		s.Replace(nil)
		require.Zero(t, s.Spare(sparePool))
	})
}
