package upstream

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// TestCallersThatLeaveStreamsEjectNoUpstream guards against healthy upstreams that are ejected for the length of streams.
func TestCallersThatLeaveStreamsEjectNoUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			usual  = 100 * time.Millisecond
			left   = 10 * time.Second
			rounds = 40
		)
		set := New(Config{
			Seed: 1,
		})
		var hosts []Host
		for _, addr := range []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"} {
			hosts = append(hosts, Host{
				Addr:        addr,
				Incarnation: addr,
				Service:     "s",
			})
		}
		set.Replace(hosts)
		pick := func(exclude ...string) Choice {
			c, err := set.Pick(Request{
				Pool: &table.Pool{
					Service: "s",
				},
				Exclude: exclude,
			})
			require.NoError(t, err)
			return c
		}
		serve := func(exclude ...string) {
			c := pick(exclude...)
			time.Sleep(usual)
			c.ResponseStarted()
			c.Done(Result{
				Outcome:         OK,
				Latency:         usual,
				ResponseStarted: true,
			})
		}
		for range rounds {
			serve()
		}
		for range rounds {
			serve(hosts[1].Addr, hosts[2].Addr)
		}
		var streams []Choice
		for range 8 {
			c := pick(hosts[1].Addr, hosts[2].Addr)
			c.ResponseStarted()
			streams = append(streams, c)
		}
		time.Sleep(left)
		for range rounds {
			serve(hosts[0].Addr)
		}
		for _, c := range streams {
			c.Done(Result{
				Outcome:         Cancelled,
				Latency:         left,
				ResponseStarted: true,
			})
		}
		pick(hosts[1].Addr, hosts[2].Addr)
	})
}
