package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	clusterSeeds  = 40
	clusterLength = 20 * time.Second
	clusterTick   = 5 * time.Millisecond
	// contactTime is how long after the fifth end all daemons must know of it, and maxLate the requests that may be
	// sent later all the same.
	contactTime = 3 * time.Second
	maxLate     = 3
	// badRunTime is how long a request with the bad part runs until its upstream ends.
	badRunTime = 80 * time.Millisecond
	// maxLinkDelay bounds the time of a message between two daemons.
	maxLinkDelay = 60 * time.Millisecond
)

// TestDaemonsHoldTogether guards against daemons that decide differently from what they tell each other, over slow links,
// while some are cut off, and after one has joined: too many requests that end upstreams are sent in all, or
// sound ones are refused for long.
func TestDaemonsHoldTogether(t *testing.T) {
	for _, size := range []int{2, 4, 16, 64} {
		for seed := range clusterSeeds {
			t.Run(fmt.Sprintf("daemons=%d/seed=%d", size, seed), func(t *testing.T) {
				var c *cluster
				synctest.Test(t, func(*testing.T) {
					c = newCluster(size, uint64(seed))
					c.play()
				})
				require.LessOrEqual(t, c.late, maxLate, "requests sent later than %v after the fifth of %d ends", contactTime, len(c.ends))
				require.Zero(t, c.refused, "sound requests refused of %d", c.sound)
			})
		}
	}
}

// cluster is a play of daemons that send sound and bad requests to upstreams.
type cluster struct {
	rand      *rand.Rand
	daemons   []*clusterDaemon
	upstreams []*clusterUpstream
	messages  []message
	ends      []time.Time
	requests  int
	sound     int
	refused   int
	late      int
}

// clusterDaemon is a daemon, which is cut off from the others until a time.
type clusterDaemon struct {
	registry *Registry
	cutUntil time.Time
}

// clusterUpstream is an upstream with the attempts in progress.
type clusterUpstream struct {
	incarnation int
	downUntil   time.Time
	running     []clusterAttempt
}

// clusterAttempt is an attempt of a daemon.
type clusterAttempt struct {
	running
	daemon *clusterDaemon
	bad    bool
}

// message is an observation on its way to a daemon.
type message struct {
	to   *clusterDaemon
	from *clusterDaemon
	what Observation
	due  time.Time
}

func newCluster(size int, seed uint64) *cluster {
	c := &cluster{
		rand: rand.New(rand.NewPCG(seed, uint64(size))),
	}
	for range size {
		c.daemons = append(c.daemons, &clusterDaemon{
			registry: New(Config{
				MayTry: func(uint64, int) bool { return false },
			}),
		})
	}
	for range 6 {
		c.upstreams = append(c.upstreams, &clusterUpstream{})
	}
	return c
}

func (c *cluster) play() {
	began := time.Now()
	joinAt := began.Add(clusterLength / 2)
	for ; time.Since(began) < clusterLength; time.Sleep(clusterTick) {
		now := time.Now()
		c.deliver(now)
		c.step(now)
		if c.rand.IntN(20) == 0 {
			c.send(false)
		}
		if now.Sub(began) > clusterLength/10 && c.rand.IntN(30) == 0 {
			c.send(true)
		}
		if c.rand.IntN(400) == 0 {
			c.cut(now)
		}
		if !joinAt.IsZero() && now.After(joinAt) {
			c.replace()
			joinAt = time.Time{}
		}
	}
}

// cut cuts a daemon off for some time. It is told everything afterwards, as on a new link.
func (c *cluster) cut(now time.Time) {
	d := c.daemons[c.rand.IntN(len(c.daemons))]
	d.cutUntil = now.Add(time.Duration(c.rand.Int64N(int64(2 * time.Second))))
}

// replace restarts a daemon, which is told everything by another one.
func (c *cluster) replace() {
	d := c.daemons[0]
	d.registry = New(d.registry.cfg)
	c.tellAll(c.daemons[1], d)
}

func (c *cluster) tellAll(from, to *clusterDaemon) {
	for _, o := range from.registry.Observations() {
		to.registry.Merge(o)
	}
}

// flood sends what a daemon has to tell to all others.
func (c *cluster) flood(from *clusterDaemon, list []Observation) {
	for _, to := range c.daemons {
		if to == from {
			continue
		}
		for _, o := range list {
			c.messages = append(c.messages, message{
				from: from,
				to:   to,
				what: o,
				due:  time.Now().Add(time.Duration(c.rand.Int64N(int64(maxLinkDelay)))),
			})
		}
	}
}

// deliver delivers the messages that are due. Those of a daemon that is cut off are lost, and replaced when it is back.
func (c *cluster) deliver(now time.Time) {
	rest := c.messages[:0]
	for _, m := range c.messages {
		switch {
		case now.Before(m.due):
			rest = append(rest, m)
		case now.Before(m.to.cutUntil) || now.Before(m.from.cutUntil):
			m.due = m.to.cutUntil
			if m.from.cutUntil.After(m.due) {
				m.due = m.from.cutUntil
			}
			rest = append(rest, m)
		default:
			m.to.registry.Merge(m.what)
		}
	}
	c.messages = rest
}

// step completes attempts and ends the upstreams of bad ones.
func (c *cluster) step(now time.Time) {
	for i, u := range c.upstreams {
		ended := false
		kept := u.running[:0]
		for _, a := range u.running {
			switch {
			case now.Before(a.ends):
				kept = append(kept, a)
			case a.bad:
				ended = true
				kept = append(kept, a)
			default:
				c.flood(a.daemon, a.daemon.registry.Succeeded(a.req))
			}
		}
		u.running = kept
		if ended {
			c.end(u, i, now)
		}
	}
}

// end ends an upstream. Each daemon learns of the end from its own attempts.
func (c *cluster) end(u *clusterUpstream, i int, now time.Time) {
	u.incarnation++
	u.downUntil = now.Add(downTime)
	c.ends = append(c.ends, now)
	for _, d := range c.daemons {
		e := End{
			Incarnation: fmt.Sprintf("%d/%d", i, u.incarnation),
			At:          now,
		}
		for _, a := range u.running {
			if a.daemon == d {
				e.Attempts = append(e.Attempts, AttemptsOf(a.req, a.began)...)
			}
		}
		c.flood(d, d.registry.Ended(e))
	}
	u.running = nil
}

// send sends a request from one of the daemons, unless it is refused or no upstream is up.
func (c *cluster) send(bad bool) {
	now := time.Now()
	d := c.daemons[c.rand.IntN(len(c.daemons))]
	c.requests++
	part, run := fmt.Sprint("document ", c.rand.IntN(sharedDocuments)), time.Duration(c.rand.Int64N(int64(time.Second)))
	if bad {
		part, run = "bad", badRunTime
	}
	req := Request{
		ID: fmt.Sprint(c.requests),
		Keys: []Key{
			PartKey("s", "shared", 0),
			PartKey("s", part, 1),
		},
	}
	err := d.registry.BeginAttempt(req)
	if !bad {
		c.sound++
	}
	if err != nil && !bad {
		c.refused++
	}
	u := c.upstreams[c.rand.IntN(len(c.upstreams))]
	if err != nil || now.Before(u.downUntil) {
		return
	}
	if bad && len(c.ends) >= certainEnds && now.After(c.ends[certainEnds-1].Add(contactTime)) && !now.Before(d.cutUntil.Add(contactTime)) {
		c.late++
	}
	u.running = append(u.running, clusterAttempt{
		running: running{
			req:   req,
			began: now,
			ends:  now.Add(run),
		},
		daemon: d,
		bad:    bad,
	})
}
