package membership

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/wire/peerpb"
)

const (
	fuzzSelf = "192.0.2.1:1/self"
	fuzzPeer = "192.0.2.2:1/peer"
)

// openFuzzLink returns a table with a link to fuzzPeer.
func openFuzzLink() (*Table, *Link) {
	t := New(Config{
		Self: Member{
			Incarnation: fuzzSelf,
			PeerAddr:    "192.0.2.1:1",
		},
		OnUpstream: func(string, UpstreamState) {},
		OnNotice:   func(UpstreamNotice) {},
		Evidence:   quarantine.New(quarantine.Config{}),
	})
	l := t.OpenLink(discardConn{}, true)
	l.Receive(&peerpb.LinkMessage{
		Heartbeat: &peerpb.Heartbeat{
			Incarnation: fuzzPeer,
		},
	})
	return t, l
}

// extremeRumors returns rumors whose numbers are at the ends of their ranges.
func extremeRumors() []*peerpb.Rumor {
	return []*peerpb.Rumor{
		{
			Member: &peerpb.MemberRumor{
				Incarnation: fuzzSelf,
				State:       peerpb.MemberState(Dead),
				Version:     math.MaxUint64,
			},
		},
		{
			Member: &peerpb.MemberRumor{
				Incarnation: fuzzPeer,
				State:       peerpb.MemberState(Alive),
				Version:     1,
				Term:        math.MaxUint64,
			},
		},
		{
			Upstream: &peerpb.UpstreamRumor{
				Addr:     "192.0.2.3:1",
				State:    peerpb.UpstreamState(UpstreamDead),
				Origin:   fuzzPeer,
				Sequence: 1,
				AgeMs:    math.MaxInt64 / 2,
			},
		},
		{
			Notice: &peerpb.NoticeRumor{
				Service:     "s",
				Incarnation: "i",
				Limited:     true,
				PerSecond:   math.Inf(1),
				Origin:      fuzzPeer,
				Sequence:    1,
				AgeMs:       math.MaxInt64 / 2,
			},
		},
		{
			Evidence: &peerpb.EvidenceRumor{
				End: &peerpb.UpstreamEnd{
					Incarnation: "i",
					AgeMs:       math.MaxInt64 / 2,
					Attempts: []*peerpb.EndedAttempt{
						{
							Key:   1,
							Rank:  math.MinInt32,
							RanMs: math.MaxInt64 / 2,
						},
					},
				},
			},
		},
		{
			Evidence: &peerpb.EvidenceRumor{
				Hold: &peerpb.KeyHold{
					Key:      1,
					Rank:     -1,
					Failures: math.MaxInt32,
					Ends:     math.MinInt32,
				},
			},
		},
		{},
	}
}

// checkTable requires that a message has not changed what only this process says of itself, and that nothing has been
// observed in the future, which would never expire.
func checkTable(t *testing.T, table *Table, version uint64) {
	t.Helper()
	self := table.Self()
	require.Equal(t, Alive, self.State)
	require.GreaterOrEqual(t, self.Version, version)
	for _, m := range table.Members() {
		require.LessOrEqual(t, m.Version, uint64(maxNumber)+1, "%s", m.Incarnation)
		require.LessOrEqual(t, m.Term, uint64(maxNumber), "%s", m.Incarnation)
	}
	now := time.Now()
	table.mu.Lock()
	defer table.mu.Unlock()
	for addr, o := range table.upstreams.observations {
		require.False(t, o.observedAt.After(now), "upstream %s", addr)
	}
	for key, o := range table.notices.observations {
		require.False(t, o.ObservedAt.After(now), "notice of %v", key)
		require.False(t, math.IsNaN(o.PerSecond) || math.IsInf(o.PerSecond, 0), "notice of %v", key)
	}
}

// FuzzReceive guards against a message of a peer that ends the process, holds the lock of the table, or leaves a state
// that can't be corrected any more.
func FuzzReceive(f *testing.F) {
	add := func(msg *peerpb.LinkMessage) {
		raw, err := proto.Marshal(msg)
		require.NoError(f, err)
		f.Add(raw)
	}
	for _, r := range extremeRumors() {
		add(&peerpb.LinkMessage{
			Rumors: []*peerpb.Rumor{r},
		})
	}
	add(&peerpb.LinkMessage{
		Heartbeat: &peerpb.Heartbeat{
			Incarnation: fuzzSelf,
			NextOffset:  math.MaxUint64,
			Revision:    math.MaxUint64,
			InForce:     []byte{255, 255},
		},
		Summary: &peerpb.Summary{
			Buckets: make([]uint64, bucketCount),
		},
	})
	f.Fuzz(func(t *testing.T, raw []byte) {
		var msg peerpb.LinkMessage
		if proto.Unmarshal(raw, &msg) != nil {
			return
		}
		table, l := openFuzzLink()
		version := table.Self().Version
		l.Receive(&msg)
		table.tick(time.Now())
		l.Receive(&msg)
		table.DialTargets()
		checkTable(t, table, version)
	})
}
