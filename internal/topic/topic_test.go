package topic

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"sequoiafork/internal/bubble"
	"sequoiafork/internal/era"
)

// maxStaleness bounds how long after it was written every daemon in reach of a reader or of the
// store has a record: a read from a frozen reader, and one from the store. The users want an
// upstream that drains to get no work after two seconds.
const maxStaleness = 2 * time.Second

// at returns a position of the first era.
func at(offset int64) era.Position {
	return era.Position{
		Offset: offset,
	}
}

// TestOneReader checks that one daemon of a data centre reads the store for all, and that the
// others have a record as soon as it has.
func TestOneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			daemons = 16
			seconds = 30
		)
		ctx, cancel := context.WithCancel(t.Context())
		c := newFakeCluster(daemons)
		c.run(ctx)
		time.Sleep(2 * time.Second)
		c.store.set(func() { c.store.calls = 0 })
		for i := range 100 * seconds {
			c.store.append(fmt.Sprint("k", i%10))
			time.Sleep(10 * time.Millisecond)
		}
		c.store.set(func() {
			require.LessOrEqual(t, c.store.calls, int(seconds*time.Second/testInterval)+1, "calls of %d daemons", daemons)
		})
		time.Sleep(2 * testInterval)
		for _, d := range c.daemons {
			known, faults := d.state()
			require.Empty(t, faults)
			require.Equal(t, c.store.end(), known, "%s", d.name)
		}
		cancel()
		synctest.Wait()
	})
}

// TestReaderFaults checks that each fault of the reader leaves the others with fresh records.
func TestReaderFaults(t *testing.T) {
	for name, fault := range map[string]func(c *fakeCluster){
		"frozen":      func(c *fakeCluster) { c.daemons[0].freeze(true) },
		"turned away": func(c *fakeCluster) { c.store.set(func() { c.store.turnedAway["d0"] = true }) },
		"all but one turned away": func(c *fakeCluster) {
			c.store.set(func() {
				for _, d := range c.daemons[:len(c.daemons)-1] {
					c.store.turnedAway[d.name] = true
				}
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				c := newFakeCluster(3)
				c.run(ctx)
				time.Sleep(3 * time.Second)
				fault(c)
				for range 20 {
					c.store.append("k")
					written := c.store.end()
					time.Sleep(maxStaleness)
					for _, d := range c.daemons[1:] {
						known, faults := d.state()
						require.Empty(t, faults)
						require.False(t, known.Before(written), "%s", d.name)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestOutageCosts checks that in an outage most daemons leave it to a few to try the store, and that
// all have the new records soon after it.
func TestOutageCosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			daemons = 16
			outage  = 10 * time.Second
			// allowed is half of the calls that all daemons would make that try the store
			// after each backoff.
			allowed = daemons * int(outage/testProbeBackoff) / 2
		)
		ctx, cancel := context.WithCancel(t.Context())
		c := newFakeCluster(daemons)
		c.run(ctx)
		time.Sleep(5 * time.Second)
		c.play(step{
			kind: stepStoreDown,
		})
		c.store.set(func() { c.store.calls = 0 })
		time.Sleep(outage)
		c.store.set(func() { require.LessOrEqual(t, c.store.calls, allowed) })
		c.play(step{
			kind: stepEnd,
		})
		c.store.append("k")
		time.Sleep(2*testProbeBackoff + testInterval)
		for _, d := range c.daemons {
			known, _ := d.state()
			require.Equal(t, c.store.end(), known, "%s", d.name)
		}
		cancel()
		synctest.Wait()
	})
}

// TestExpiredAtReader checks that a follower whose offset the reader no longer has, or not yet,
// reads from the store.
func TestExpiredAtReader(t *testing.T) {
	tail := newTail("t")
	now := time.Now()
	tail.appendRecords(at(10), []Record{
		{
			Key: "a",
			At:  at(10),
		},
		{
			Key: "b",
			At:  at(11),
		},
	})
	var notCurrent *NotCurrentError
	_, err := tail.read(t.Context(), at(10), 0)
	require.ErrorAs(t, err, &notCurrent, "another daemon reads for this one")
	tail.setReadAt(now)
	var expired *ExpiredError
	_, err = tail.read(t.Context(), at(9), 0)
	require.ErrorAs(t, err, &expired)
	_, err = tail.read(t.Context(), at(13), 0)
	require.ErrorAs(t, err, &notCurrent, "the follower is ahead")
	page, err := tail.read(t.Context(), at(11), 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	page, err = tail.read(t.Context(), at(12), time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, page.Records)
}

// TestWaitingDaemonIsSentOn guards against a daemon that waits for a record while its reader begins to read from
// another one, and that is not told which.
func TestWaitingDaemonIsSentOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeCluster(2)
		r := c.daemons[1].readers
		f := c.daemons[1].follower
		f.tail.reset(at(0))
		f.tail.setReadAt(time.Now())
		go func() {
			time.Sleep(testInterval)
			r.setSource("t", "d0", nil)
			f.tail.setReadAt(time.Time{})
		}()
		_, err := r.Serve(t.Context(), "t", at(0), testWait)
		var notCurrent *NotCurrentError
		require.ErrorAs(t, err, &notCurrent)
		require.Equal(t, "d0", notCurrent.Reader)
	})
}

// TestTailIsBounded checks that a tail keeps a bounded number of bytes, and always the last record.
func TestTailIsBounded(t *testing.T) {
	tail := newTail("t")
	tail.setReadAt(time.Now())
	const count = 100
	value := make([]byte, maxServedBytes/2)
	for i := range int64(count) {
		tail.appendRecords(at(i), []Record{
			{
				Key:   "k",
				Value: value,
				At:    at(i),
			},
		})
		require.LessOrEqual(t, tail.bytes, maxTailBytes)
		require.Equal(t, totalSize(tail.records), tail.bytes)
	}
	page, err := tail.read(t.Context(), at(count-1), 0)
	require.NoError(t, err)
	require.Len(t, page.Records, 1)
	tail.appendRecords(at(count), []Record{
		{
			Key:   "k",
			Value: make([]byte, 2*maxTailBytes),
		},
	})
	require.Len(t, tail.records, 1)
}

// TestServedRecordsStay guards against records that change while they are sent to another daemon,
// because the tail drops them meanwhile: that daemon would lose them.
func TestServedRecordsStay(t *testing.T) {
	const maxCount = 100 // Some of these counts leave room in the array of the tail.
	for count := int64(1); count <= maxCount; count++ {
		tail := newTail("t")
		tail.setReadAt(time.Now())
		var want []Record
		for i := range count {
			want = append(want, Record{
				Key:   "k",
				Value: []byte{byte(i)},
				At:    at(i),
			})
			tail.appendRecords(at(i), want[i:])
		}
		served, err := tail.read(t.Context(), at(0), 0)
		require.NoError(t, err)
		tail.appendRecords(at(count), []Record{
			{
				Key:   "large",
				Value: make([]byte, maxTailBytes),
				At:    at(count),
			},
		})
		require.Len(t, tail.records, 1, "records that the tail still has")
		require.Equal(t, want, served.Records)
	}
}

// TestLargeRecordsAreNotServed guards against a reader whose link is filled by a large record that
// it sends to each daemon of its data centre: they read that from the store.
func TestLargeRecordsAreNotServed(t *testing.T) {
	tail := newTail("t")
	tail.setReadAt(time.Now())
	tail.appendRecords(at(0), []Record{
		{
			Key:   "k",
			Value: make([]byte, maxServedBytes+1),
		},
	})
	var expired *ExpiredError
	_, err := tail.read(t.Context(), at(0), 0)
	require.ErrorAs(t, err, &expired)
}

// TestUnchangedRecords checks that a record that says the same as the one before costs the daemons
// that read from another one little: it has no value, and only its offset counts.
func TestUnchangedRecords(t *testing.T) {
	var got []Record
	f := New(Config{
		Name:      "t",
		Unchanged: func(before, after []byte) bool { return before[0] == after[0] },
		OnRecords: func(records []Record) { got = append(got, records...) },
		OnNewest:  func(Snapshot) {},
		Logger:    zap.NewNop(),
	})
	f.next = at(0)
	f.tail.setReadAt(time.Now())
	value := func(offset int64, text string) Record {
		r := Record{
			Key: "k",
			At:  at(offset),
		}
		if text != "" {
			r.Value = []byte(text)
		}
		return r
	}
	f.apply([]Record{value(0, "a1"), value(1, "a2"), value(2, ""), value(3, "a3"), value(4, "a4"), value(5, "b5")})
	require.Equal(t, []Record{value(0, "a1"), value(2, ""), value(3, "a3"), value(5, "b5")}, got)
	served, err := f.ReadTopic(t.Context(), at(0), 0)
	require.NoError(t, err)
	require.Len(t, served.Records, 6)
	for _, i := range []int{1, 4} {
		require.True(t, served.Records[i].Unchanged)
		require.Nil(t, served.Records[i].Value)
	}
	got = nil
	peer := New(f.cfg)
	peer.next = at(0)
	peer.apply(slices.Clone(served.Records))
	require.Equal(t, []Record{value(0, "a1"), value(2, ""), value(3, "a3"), value(5, "b5")}, got, "a daemon that reads from this one")
	require.Equal(t, at(6), peer.next)
}

// The kinds of steps of TestFaultsInAnyOrder.
const (
	stepAppend = iota
	stepFreeze
	stepTurnAway
	stepStoreDown
	stepDelete
	stepRewind
	stepEnd // ends all faults
	stepKindCount
)

type step struct {
	kind   int
	daemon int
	delay  time.Duration
}

// TestFaultsInAnyOrder plays faults of the daemons and of the store in any order: no record may be
// skipped or come twice, no value may go back, and after the last fault all daemons catch up.
func TestFaultsInAnyOrder(t *testing.T) {
	const daemons = 4
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{
				kind:   rapid.IntRange(0, stepKindCount-1).Draw(rt, "kind"),
				daemon: rapid.IntRange(0, daemons-1).Draw(rt, "daemon"),
				delay:  time.Duration(rapid.SampledFrom([]int{0, 5, 150, 700, 2500}).Draw(rt, "delay")) * time.Millisecond,
			}
		}), 1, 40).Draw(rt, "steps")
		failed := bubble.Run(t, func(t *bubble.T) { playSteps(t, daemons, steps) })
		if failed != "" {
			rt.Fatal(failed)
		}
	})
}

func playSteps(t *bubble.T, daemons int, steps []step) {
	ctx, cancel := context.WithCancel(context.Background())
	c := newFakeCluster(daemons)
	c.run(ctx)
	for _, s := range steps {
		c.play(s)
		time.Sleep(s.delay)
	}
	c.play(step{
		kind: stepEnd,
	})
	c.store.append("last")
	time.Sleep(readerAvoidTime + maxStaleness)
	for _, d := range c.daemons {
		known, faults := d.state()
		require.Empty(t, faults)
		require.Equal(t, c.store.end(), known, "%s", d.name)
	}
	cancel()
	time.Sleep(time.Minute)
}

func (c *fakeCluster) play(s step) {
	d := c.daemons[s.daemon]
	switch s.kind {
	case stepAppend:
		c.store.append(fmt.Sprint("k", s.daemon))
	case stepFreeze:
		d.freeze(true)
	case stepTurnAway:
		c.store.set(func() { c.store.turnedAway[d.name] = true })
	case stepStoreDown:
		c.store.set(func() {
			c.store.down = true
			c.store.signal()
		})
	case stepDelete:
		c.store.set(func() { c.store.first = int64(len(c.store.records)) })
	case stepRewind:
		for _, r := range c.store.rewind(s.daemon + 1) {
			if s.delay > 0 { // Otherwise it is lost for good.
				c.store.write(r.Key, r.Value)
			}
		}
	case stepEnd:
		c.store.set(func() {
			c.store.down = false
			c.store.turnedAway = make(map[string]bool)
		})
		for _, d := range c.daemons {
			d.freeze(false)
		}
	}
}
