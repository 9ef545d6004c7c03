package hostset

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/era"
	"sequoiafork/internal/upstream"
)

func host(addr string, st upstream.State) upstream.Host {
	return upstream.Host{
		Addr:    addr,
		Service: "s",
		State:   st,
	}
}

// live returns a usable entry of a host at an address.
func live(addr string, st upstream.State) Entry {
	return Entry{
		Host:   host(addr, st),
		Usable: true,
	}
}

// at returns a position of the first era.
func at(offset int64) era.Position {
	return era.Position{
		Offset: offset,
	}
}

func names(s *Set) []string {
	list := []string{}
	for _, h := range s.Hosts() {
		list = append(list, h.Addr)
	}
	return list
}

// expireInOutage lists a live host whose entry expires in an outage of the store that ends now.
func expireInOutage(s *Set, name string) {
	s.Put(name, live(name, upstream.Live), at(1))
	s.MarkStoreUnavailable(time.Now())
	time.Sleep(minExpiryOutage)
	s.Remove(name, at(2))
	s.MarkStoreAvailable(time.Now())
}

func TestRemoveWhileStoreAvailable(t *testing.T) {
	s := New(Config{})
	s.Put("a", live("a", upstream.Live), at(1))
	s.Put("b", live("b", upstream.Live), at(2))
	s.Remove("a", at(3))
	require.Equal(t, []string{"b"}, names(s))
}

func TestOlderRecordsIgnored(t *testing.T) {
	s := New(Config{})
	s.Put("a", live("new", upstream.Live), at(5))
	s.Put("a", live("old", upstream.Live), at(4))
	s.Remove("a", at(3))
	require.Equal(t, []string{"new"}, names(s))
}

func TestUnusableEntryReplacesOlder(t *testing.T) {
	s := New(Config{})
	s.Put("a", live("a", upstream.Live), at(1))
	s.Put("a", Entry{}, at(2))
	require.Empty(t, names(s))
}

func TestEntryExpiredInOutageMayReappear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.Put("back", live("back", upstream.Live), at(1))
		s.Put("gone", live("gone", upstream.Live), at(2))
		s.Put("leaving", live("leaving", upstream.Leaving), at(3))
		s.MarkStoreUnavailable(time.Now())
		time.Sleep(10 * time.Second)
		s.MarkStoreAvailable(time.Now())
		s.MarkStoreAvailable(time.Time{}) // Has no effect.
		s.Remove("back", at(4))
		s.Remove("gone", at(5))
		s.Remove("leaving", at(6))
		require.Equal(t, []string{"back", "gone"}, names(s))
		time.Sleep(2 * time.Second)
		s.Put("back", live("back", upstream.Live), at(7))
		require.Equal(t, []string{"back", "gone"}, names(s))
		time.Sleep(time.Second)
		require.Equal(t, []string{"back"}, names(s))
	})
}

// TestNextOutageDoesNotKeepEntryLonger guards against a host that is used in an outage although its entry, which
// was removed around the outage before, had its time to reappear: nothing lists the hosts between that time and
// the outage.
func TestNextOutageDoesNotKeepEntryLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		expireInOutage(s, "gone")
		time.Sleep(reregistrationTime)
		s.MarkStoreUnavailable(time.Now())
		require.Empty(t, names(s))
	})
}

// TestReturnDoesNotKeepEntryLonger guards against the same when the store comes back from an older copy.
func TestReturnDoesNotKeepEntryLonger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		expireInOutage(s, "gone")
		time.Sleep(reregistrationTime)
		s.Rewind(nil, era.Position{
			Era: 1,
		})
		require.Empty(t, names(s))
	})
}

// TestReturnDuringOutage guards against an entry that a daemon retains from when it learns of the return of the store
// from a peer, rather than from when that one reached the store.
func TestReturnDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.Put("gone", live("gone", upstream.Live), at(1))
		s.MarkStoreUnavailable(time.Now())
		reachedByPeer := time.Now()
		time.Sleep(reregistrationTime / 2)
		s.Rewind(nil, era.Position{
			Era: 1,
		})
		require.Equal(t, []string{"gone"}, names(s))
		s.MarkStoreAvailable(reachedByPeer)
		require.Equal(t, []string{"gone"}, names(s))
		time.Sleep(reregistrationTime / 2)
		require.Empty(t, names(s))
	})
}

// TestNextOutageKeepsEntryWhoseTimeIsNotOver guards against the loss of a host whose entry had no time to reappear
// between two outages.
func TestNextOutageKeepsEntryWhoseTimeIsNotOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		expireInOutage(s, "a")
		time.Sleep(reregistrationTime / 2)
		s.MarkStoreUnavailable(time.Now())
		time.Sleep(time.Minute)
		require.Equal(t, []string{"a"}, names(s))
	})
}

// TestShortOutageRetainsNothing guards against a host that gets work after its entry was removed, because calls to
// the store failed for a time in which no entry can expire.
func TestShortOutageRetainsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.Put("during", live("during", upstream.Live), at(1))
		s.Put("after", live("after", upstream.Live), at(2))
		reached := time.Now()
		time.Sleep(minExpiryOutage / 2)
		s.MarkStoreUnavailable(reached)
		s.Remove("during", at(3))
		time.Sleep(minExpiryOutage/2 - time.Millisecond)
		s.MarkStoreAvailable(time.Now())
		require.Equal(t, []string{"after"}, names(s))
		s.Remove("after", at(4))
		require.Empty(t, names(s))
	})
}

// TestShortOutagesInARow guards against the loss of a live host whose entry expired because its heartbeats fell into
// outages that were short each.
func TestShortOutagesInARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.Put("a", live("a", upstream.Live), at(1))
		for range 4 {
			s.MarkStoreUnavailable(time.Now())
			time.Sleep(minExpiryOutage / 2)
			s.MarkStoreAvailable(time.Now())
			time.Sleep(heartbeatInterval / 2)
		}
		s.Remove("a", at(2))
		require.Equal(t, []string{"a"}, names(s))
		time.Sleep(reregistrationTime)
		require.Empty(t, names(s))
	})
}

// TestOutageSinceStart guards against the loss of a live host at a daemon that has not reached the store before.
func TestOutageSinceStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Config{})
		s.MarkStoreUnavailable(time.Time{})
		s.Put("a", live("a", upstream.Live), at(1))
		s.MarkStoreAvailable(time.Now())
		s.Remove("a", at(2))
		require.Equal(t, []string{"a"}, names(s))
	})
}

func TestReplace(t *testing.T) {
	s := New(Config{})
	s.Put("a", live("a", upstream.Live), at(1))
	s.Put("b", live("b", upstream.Live), at(2))
	s.Put("later", live("later", upstream.Live), at(9))
	s.Replace([]Listed{
		{
			Entry: live("a", upstream.Live),
			Name:  "a",
			At:    at(1),
		},
	}, at(5))
	require.Equal(t, []string{"a", "later"}, names(s))
}

// TestRewind checks what is kept when the store comes back from an older copy, in a new era whose offsets
// are lower.
func TestRewind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		run := func(name string, started int64, st upstream.State) Entry {
			e := live(name, st)
			e.Host.Incarnation = fmt.Sprint(name, "@", started)
			e.Started = started
			return e
		}
		listed := func(name string, e Entry, offset int64) Listed {
			return Listed{
				Entry: e,
				Name:  name,
				At: era.Position{
					Era:    1,
					Offset: offset,
				},
			}
		}
		states := func(s *Set) string {
			var list []string
			for _, h := range s.Hosts() {
				list = append(list, fmt.Sprint(h.Incarnation, " ", h.State))
			}
			return strings.Join(list, ", ")
		}
		end := era.Position{
			Era:    1,
			Offset: 10,
		}
		s := New(Config{})
		s.Put("left", run("left", 1, upstream.Leaving), at(20))
		s.Put("gone", run("gone", 1, upstream.Live), at(21))
		s.Remove("gone", at(22))
		s.Put("new", run("new", 1, upstream.Live), at(23))
		s.Put("restarted", run("restarted", 5, upstream.Live), at(24))
		s.Put("same", run("same", 1, upstream.Live), at(3))
		s.Rewind([]Listed{
			listed("left", run("left", 1, upstream.Live), 1),
			listed("gone", run("gone", 1, upstream.Live), 2),
			listed("restarted", run("restarted", 4, upstream.Live), 4),
			listed("same", run("same", 1, upstream.Live), 3),
			listed("other", run("other", 1, upstream.Live), 5),
		}, end)
		all := "left@1 leaving, new@1 live, other@1 live, restarted@5 live, same@1 live"
		require.Equal(t, all, states(s))

		// A record of the new era counts, although its offset is lower than before.
		s.Put("new", run("new", 1, upstream.Live), end)
		s.Put("left", run("left", 1, upstream.Leaving), end.WithOffset(11))
		s.Put("same", run("same", 1, upstream.Leaving), at(100))
		require.Equal(t, all, states(s), "one of the old era does not")
		time.Sleep(reregistrationTime)
		require.Equal(t, all, states(s))

		// What is still listed after its entry would have expired is there.
		time.Sleep(hiddenTTL - reregistrationTime)
		require.Equal(t, strings.Replace(all, "left", "gone@1 live, left", 1), states(s))
	})
}
