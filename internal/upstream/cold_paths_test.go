package upstream

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/coldstart"
)

// settled is longer than a daemon takes to get rights after its start.
const settled = 4 * time.Second

// coldSet returns a set of n upstreams that are cold for a time, and the rights of its daemon, which has had them for
// some time. Before its own rank, the view has so many other daemons.
func coldSet(n, others int, left time.Duration) (*Set, *coldstart.Rights) {
	rights := coldstart.NewRights(time.Now())
	v := coldstart.View{
		Self:  "self",
		Known: others + 1,
	}
	for i := range others {
		v.Living = append(v.Living, string(rune('a'+i)))
	}
	rights.SetView(v)
	beats(rights, settled)
	s := New(Config{
		Cold: rights,
	})
	list := hosts(n)
	for i := range list {
		list[i].Cold = coldstart.Mark{
			Until: time.Now().Add(left),
			Limit: coldLimit,
		}
	}
	s.Replace(list)
	return s, rights
}

// beats lets time pass for a daemon that runs.
func beats(rights *coldstart.Rights, d time.Duration) {
	for range d / coldBeat {
		time.Sleep(coldBeat)
		rights.Beat(time.Now())
	}
}

// TestWholePoolCold guards against requests that are sent before their turn, that are rejected although they could wait
// for it, and that are told to come back when there is none.
func TestWholePoolCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const upstreams = 3
		s, _ := coldSet(upstreams, 0, time.Minute)
		r := Request{
			Pool: pool(),
		}
		for range upstreams {
			c, err := s.Pick(r)
			require.NoError(t, err)
			require.Zero(t, c.Delay)
		}
		_, err := s.Pick(r)
		var none *NoUpstreamError
		require.ErrorAs(t, err, &none)
		require.Contains(t, none.Reason, "cold")
		require.Positive(t, none.RetryAfter)
		require.Less(t, none.RetryAfter, time.Second)

		r.MaxDelay = time.Second
		c, err := s.Pick(r)
		require.NoError(t, err)
		require.Positive(t, c.Delay)
		time.Sleep(c.Delay)
		require.True(t, c.BeginTurn())

		time.Sleep(none.RetryAfter)
		_, err = s.Pick(Request{
			Pool: pool(),
		})
		require.NoError(t, err, "a caller that comes back when it was told to has a turn")
	})
}

// TestNoPartOfTheLimit guards against a daemon that sends although others have the whole limit, and against callers that
// are told to come back to it before the upstreams are warm.
func TestNoPartOfTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const left = 5 * time.Second
		s, rights := coldSet(1, 25, left)
		_, err := s.Pick(Request{
			Pool: pool(),
		})
		var none *NoUpstreamError
		require.ErrorAs(t, err, &none)
		require.GreaterOrEqual(t, none.RetryAfter, left)
		require.LessOrEqual(t, none.RetryAfter, left+2*time.Second)
		beats(rights, left)
		_, err = s.Pick(Request{
			Pool: pool(),
		})
		require.NoError(t, err, "the upstream is warm")
	})
}

// TestTurnLapses guards against an attempt that is sent after its daemon was suspended while it waited, and against a
// daemon that uses its old list right after.
func TestTurnLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, rights := coldSet(1, 0, 10*time.Second)
		r := Request{
			Pool:     pool(),
			MaxDelay: time.Second,
		}
		_, err := s.Pick(r)
		require.NoError(t, err)
		c, err := s.Pick(r)
		require.NoError(t, err)
		require.Positive(t, c.Delay)
		time.Sleep(3 * time.Second)
		require.False(t, c.BeginTurn(), "the daemon was suspended")
		_, err = s.Pick(r)
		require.Error(t, err)

		time.Sleep(10 * time.Second)
		rights.Beat(time.Now())
		_, err = s.Pick(Request{
			Pool: pool(),
		})
		require.Error(t, err, "the upstream may be cold again")
		late, err := s.Pick(r)
		require.NoError(t, err)
		beats(rights, late.Delay+coldBeat)
		require.True(t, late.BeginTurn(), "the list is up to date")
	})
}

// TestColdResumedStream guards against streams that are resumed at a cold upstream without a turn, because only upstreams
// of one version can take them.
func TestColdResumedStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := coldSet(1, 0, time.Minute)
		s.OverrideState("10.0.0.0:80", Suspect, "slow")
		r := Request{
			Pool:       pool(),
			PinVersion: true,
		}
		_, err := s.Pick(r)
		require.NoError(t, err, "an ejected upstream resumes streams")
		_, err = s.Pick(r)
		var none *NoUpstreamError
		require.ErrorAs(t, err, &none)
	})
}

// TestNoColdRate guards against services without a cold rate that depend on the rights of the daemon.
func TestNoColdRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{
			Cold: coldstart.NewRights(time.Now()),
		})
		list := hosts(1)
		list[0].Cold = coldstart.Mark{
			Known: true,
			Until: time.Now().Add(time.Hour),
		}
		s.Replace(list)
		time.Sleep(time.Minute)
		for range 100 {
			c, err := s.Pick(Request{
				Pool: pool(),
			})
			require.NoError(t, err)
			require.Zero(t, c.Delay)
		}
	})
}

// TestLeavingUpstreamGetsNoProbe guards against requests that are sent to an upstream that is listed as leaving, as those of
// an evacuated data centre are, since it refused a connection before and is due to be tried again.
func TestLeavingUpstreamGetsNoProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		list := hosts(1)
		s.Replace(list)
		s.OverrideState(list[0].Addr, Dead, "refused a connection")
		list[0].State = Leaving
		s.Replace(list)
		time.Sleep(time.Second)
		for _, pin := range []bool{false, true} {
			_, err := s.Pick(Request{
				Pool:       pool(),
				PinVersion: pin,
				MaxDelay:   time.Minute,
			})
			var none *NoUpstreamError
			require.True(t, errors.As(err, &none))
		}
	})
}
