package topic

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var returnSeeds = flag.Uint64("return_seeds", 100, "the number of seeds of each test of daemons that are turned away after a return")

// TestStoreFromOlderCopy guards against updates that are missed or taken for older ones when the store comes
// back from an older copy, and against upstreams that are used again, or lost, because the copy shows them
// as they were.
func TestStoreFromOlderCopy(t *testing.T) {
	datadriven.Walk(t, "testdata/era", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			p := rewindFrom(t, d)
			for seed := p.firstSeed; seed < p.firstSeed+p.seeds; seed++ {
				out := ""
				synctest.Test(t, func(t *testing.T) { out = p.play(t, seed) })
				if out != d.Expected {
					return fmt.Sprintf("%sseed: %d\n", out, seed)
				}
			}
			return d.Expected
		})
	})
}

// rewind is a number of returns of the store from an older copy, and what happens to an upstream between
// copy and return.
type rewind struct {
	// firstSeed is the first of the seeds with which the returns are played, and seeds their number.
	firstSeed, seeds uint64

	count       int
	dataCentres []string
	// event is what the upstream does: leaves (says so in its entry), goes (its entry is removed),
	// comes (it is new), or stays; with leaves_later and goes_later it does so later after the return.
	event string
	later time.Duration
	// writtenAgain is when the lost records are written again after the return. ghost reports that the
	// removal of an upstream that is gone is not, and that its entry expires instead.
	writtenAgain time.Duration
	ghost        bool
	// twice reports that the store comes back from a second copy soon after.
	twice bool
	// frozen is the daemon that is frozen at the return, turnedAway are those that the store does not serve
	// around it, and late is one that starts right after it.
	frozen, late string
	turnedAway   []string
	// awayFor is how long after the return the store turns daemons away. silent reports that it does not respond
	// to them, rather than with an error.
	awayFor time.Duration
	silent  bool
}

func rewindFrom(t *testing.T, d *datadriven.TestData) rewind {
	p := rewind{
		seeds:  defaultSeeds,
		ghost:  d.HasArg("ghost"),
		twice:  d.HasArg("twice"),
		silent: d.HasArg("silent"),
		later:  laterTime,
	}
	d.MaybeScanArgs(t, "first_seed", &p.firstSeed)
	d.MaybeScanArgs(t, "seeds", &p.seeds)
	d.ScanArgs(t, "count", &p.count)
	d.ScanArgs(t, "event", &p.event)
	d.MaybeScanArgs(t, "frozen", &p.frozen)
	d.MaybeScanArgs(t, "late", &p.late)
	var centres, turnedAway, again string
	d.MaybeScanArgs(t, "turned_away", &turnedAway)
	if turnedAway != "" {
		p.turnedAway = strings.Split(turnedAway, "/")
	}
	d.ScanArgs(t, "data_centres", &centres)
	p.dataCentres = strings.Split(centres, "/")
	d.ScanArgs(t, "written_again", &again)
	var err error
	p.writtenAgain, err = time.ParseDuration(again)
	require.NoError(t, err)
	away := "4s"
	d.MaybeScanArgs(t, "away_for", &away)
	p.awayFor, err = time.ParseDuration(away)
	require.NoError(t, err)
	return p
}

const (
	// defaultSeeds is the number of seeds of a row that names none.
	defaultSeeds = 3
	// copyAge is the age of the copy, eventAge how long before the return the event is, and awayTime how
	// long the store is away.
	copyAge  = 5 * time.Second
	eventAge = 3 * time.Second
	awayTime = time.Second
	// expiryTime is when the entry of an upstream that is gone expires after the return.
	expiryTime = 3600 * time.Millisecond
	// useBound is how long after it has left an upstream may be used, and watchTime for how long it is
	// watched after the return at least.
	useBound  = 2 * time.Second
	watchTime = 15 * time.Second
	watchStep = 20 * time.Millisecond
	// lateTime is how long after its start a daemon may not know what happened before: the users' time
	// after which it counts as in touch.
	lateTime = 3 * time.Second
	// laterTime is longer than anything of the return is waited for.
	laterTime = 7 * time.Second
)

// play plays the returns with the draws of a seed, and returns how often a daemon had an upstream wrong, and
// what else it had wrong.
func (p rewind) play(t *testing.T, seed uint64) string {
	ctx, cancel := context.WithCancel(t.Context())
	c := newSeededCluster(p.dataCentres, seed)
	pauses := rand.New(rand.NewPCG(seed, uint64(len(c.daemons))))
	for _, d := range c.daemons {
		if d.name != p.late {
			go func() { _ = d.follower.Run(ctx) }()
		}
	}
	wrong := 0
	for i := range p.count {
		name := fmt.Sprint("u", i)
		if p.event != "comes" {
			c.store.append(name)
		}
		time.Sleep(20*time.Second + time.Duration(pauses.Int64N(int64(3*time.Second))))
		wrong += p.round(ctx, c, name)
		c.store.remove(name) // So that the lists stay short.
	}
	c.store.append("last")
	time.Sleep(readerAvoidTime + maxStaleness)
	out := fmt.Sprintf("wrong: %d of %d\n", wrong, p.count*len(c.daemons))
	for _, d := range c.daemons {
		known, faults := d.state()
		if len(faults) > 0 || known != c.store.end() {
			out += fmt.Sprintf("%s: known %v, end %v, faults %v\n", d.name, known, c.store.end(), faults)
		}
	}
	cancel()
	time.Sleep(time.Minute)
	return out
}

// round plays one return and returns the number of daemons that had the upstream wrong.
func (p rewind) round(ctx context.Context, c *fakeCluster, name string) int {
	copied := c.store.end().Offset
	time.Sleep(copyAge - eventAge)
	p.happen(c, name)
	time.Sleep(eventAge)
	p.set(c, true)
	c.store.setSilent(true)
	time.Sleep(awayTime)
	lost := c.store.rewind(int(c.store.end().Offset - copied))
	c.store.setSilent(false)
	p.startLate(ctx, c)
	if p.twice {
		time.Sleep(500 * time.Millisecond)
		c.store.rewind(0)
	}
	go p.writeAgain(c, name, lost)
	wrong := make(map[string]bool)
	for passed := time.Duration(0); passed < p.watchedFor(); passed += watchStep {
		if passed >= p.awayFor && passed-watchStep < p.awayFor {
			p.set(c, false)
		}
		if passed >= p.later && passed-watchStep < p.later {
			p.happenLater(c, name)
		}
		for _, d := range c.daemons {
			if p.isWrong(d, name, passed) {
				wrong[d.name] = true
			}
		}
		time.Sleep(watchStep)
	}
	return len(wrong)
}

// happen plays the event.
func (p rewind) happen(c *fakeCluster, name string) {
	switch p.event {
	case "leaves":
		c.store.write(name, []byte("x"))
	case "goes":
		c.store.write(name, nil)
	case "comes":
		c.store.append(name)
	}
}

// happenLater plays an event after the return.
func (p rewind) happenLater(c *fakeCluster, name string) {
	switch p.event {
	case "leaves_later":
		c.store.write(name, []byte("x"))
	case "goes_later":
		c.store.write(name, nil)
	}
}

// writeAgain writes what was lost.
func (p rewind) writeAgain(c *fakeCluster, name string, lost []Record) {
	time.Sleep(p.writtenAgain)
	if p.ghost {
		time.Sleep(expiryTime - p.writtenAgain)
		c.store.write(name, nil)
		return
	}
	for _, r := range lost {
		c.store.write(r.Key, r.Value)
	}
}

// set begins or ends the faults of single daemons.
func (p rewind) set(c *fakeCluster, on bool) {
	for _, d := range c.daemons {
		if d.name == p.frozen {
			d.freeze(on)
		}
		if slices.Contains(p.turnedAway, d.name) {
			p.turnAway(c, d, on)
		}
	}
}

// turnAway makes the store serve a daemon no longer, or again.
func (p rewind) turnAway(c *fakeCluster, d *fakeDaemon, on bool) {
	c.store.set(func() {
		if !p.silent {
			c.store.turnedAway[d.name] = on
			return
		}
		c.store.ignored[d.name] = on
		c.store.signal()
	})
}

// startLate starts the daemon that starts after the first return.
func (p rewind) startLate(ctx context.Context, c *fakeCluster) {
	for _, d := range c.daemons {
		if d.name == p.late && d.known.Offset < 0 {
			go func() { _ = d.follower.Run(ctx) }()
		}
	}
}

// isWrong reports whether a daemon has the upstream wrong at a time after the return.
func (p rewind) isWrong(d *fakeDaemon, name string, passed time.Duration) bool {
	if d.name == p.late && passed < lateTime {
		return false
	}
	switch p.event {
	case "leaves", "goes":
		return passed+eventAge+awayTime > useBound && d.listsLive(name)
	case "leaves_later", "goes_later":
		return passed > p.knownAfter() && d.listsLive(name)
	case "comes", "stays":
		return !d.listsLive(name)
	}
	return true
}

// knownAfter returns how long after the return no daemon may send new work to the upstream any more, because of
// the later event.
func (p rewind) knownAfter() time.Duration {
	return max(p.later, p.servedAfter()+lateTime) + useBound
}

// watchedFor returns for how long after the return the upstream is watched.
func (p rewind) watchedFor() time.Duration {
	const margin = 2 * watchStep
	return max(watchTime, p.awayFor+margin, p.knownAfter()+margin)
}

// servedAfter returns how long after the return the store serves the first daemon.
func (p rewind) servedAfter() time.Duration {
	if len(p.turnedAway) == len(p.dataCentres) {
		return p.awayFor
	}
	return 0
}

// TestTurnedAwayAfterReturn guards against daemons that the store turns away after it has come back from an
// older copy, and that learn late from the others which upstreams left.
func TestTurnedAwayAfterReturn(t *testing.T) {
	for seed := range *returnSeeds {
		drawTurnedAway(seed).check(t, seed)
	}
}

// TestIgnoredAfterReturn guards against the same where the store does not respond to the daemons.
func TestIgnoredAfterReturn(t *testing.T) {
	for seed := range *returnSeeds {
		p := drawTurnedAway(seed)
		p.silent = true
		p.check(t, seed)
	}
}

// check plays the returns and requires that no daemon has an upstream wrong.
func (p rewind) check(t *testing.T, seed uint64) {
	t.Helper()
	out := ""
	synctest.Test(t, func(t *testing.T) { out = p.play(t, seed) })
	assert.Equal(t, fmt.Sprintf("wrong: 0 of %d\n", p.count*len(p.dataCentres)), out, "seed %d: %+v", seed, p)
}

// drawTurnedAway draws a return around which the store turns away one daemon, or all of a data centre.
func drawTurnedAway(seed uint64) rewind {
	const (
		minDaemons, maxDaemons = 2, 6
		minAwayFor, maxAwayFor = time.Second, 30 * time.Second
		minLater, maxLater     = 3 * time.Second, laterTime
		maxWrittenAgain        = 2 * time.Second
		maxDataCentres         = 3
		returns                = 3
	)
	random := rand.New(rand.NewPCG(seed, 0))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	p := rewind{
		count:        returns,
		event:        []string{"leaves_later", "goes_later"}[random.IntN(2)],
		later:        between(minLater, maxLater),
		writtenAgain: between(0, maxWrittenAgain),
		awayFor:      between(minAwayFor, maxAwayFor),
	}
	centres := 1 + random.IntN(maxDataCentres)
	for range minDaemons + random.IntN(maxDaemons-minDaemons+1) {
		p.dataCentres = append(p.dataCentres, string(rune('a'+random.IntN(centres))))
	}
	first := random.IntN(len(p.dataCentres))
	all := random.IntN(2) == 0
	for i, dc := range p.dataCentres {
		if i == first || all && dc == p.dataCentres[first] {
			p.turnedAway = append(p.turnedAway, fmt.Sprint("d", i))
		}
	}
	return p
}

// TestStartDuringOutage guards against a daemon that starts while the store serves nobody, or not this daemon,
// and knows nothing until the store is back, although the others know all.
func TestStartDuringOutage(t *testing.T) {
	// knownWithin allows for a call that gets no response, and for the peer.
	const knownWithin = testCallTimeout + time.Second
	for _, kind := range []string{"silent", "error", "some_silent", "some_error"} {
		t.Run(kind, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				o := outage{
					kind:        kind,
					dataCentres: []string{"b", "b", "b", "a"},
				}
				c := newFakeClusterIn(o.dataCentres)
				late := c.daemons[3]
				for _, d := range c.daemons[:3] {
					go func() { _ = d.follower.Run(ctx) }()
				}
				c.store.append("u")
				time.Sleep(5 * time.Second)
				o.set(c, true)
				time.Sleep(10 * time.Second)
				go func() { _ = late.follower.Run(ctx) }()
				time.Sleep(knownWithin)
				require.True(t, late.listsLive("u"))
				time.Sleep(10 * time.Second)
				o.set(c, false)
				c.store.append("v")
				time.Sleep(readerAvoidTime + maxStaleness)
				for _, d := range c.daemons {
					known, faults := d.state()
					require.Empty(t, faults)
					require.Equal(t, c.store.end(), known, "%s", d.name)
					require.True(t, d.listsLive("u"))
				}
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestStartOfDataCentreDuringOutage guards against the daemons of a data centre that all start while the store does
// not serve them, and that ask only each other.
func TestStartOfDataCentreDuringOutage(t *testing.T) {
	const knownWithin = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		o := outage{
			kind:        "some_error",
			dataCentres: []string{"a", "a", "a", "a", "a", "a", "b"},
		}
		c := newFakeClusterIn(o.dataCentres)
		go func() { _ = c.daemons[6].follower.Run(ctx) }()
		c.store.append("u")
		time.Sleep(5 * time.Second)
		o.set(c, true)
		for _, d := range c.daemons[:6] {
			go func() { _ = d.follower.Run(ctx) }()
		}
		time.Sleep(knownWithin)
		for _, d := range c.daemons {
			require.True(t, d.listsLive("u"), "%s", d.name)
		}
		cancel()
		time.Sleep(time.Minute)
	})
}
