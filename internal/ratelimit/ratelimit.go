// Package ratelimit paces requests to a process that limits their rate for all daemons together.
//
// The daemons agree on who sends how much without talking to each other: for each process they have the
// same order, and the first of them share the limit equally. Load it answers: an upstream in need
// that names a limit while the callers' load stays what it is.
//
//	var p ratelimit.Pacer
//	p.Observe(limit, rank, daemons, now)
//	if p.Ready(now) {
//		p.Take(now)
//		// send
//	}
package ratelimit

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"sequoiafork/internal/ident"
)

const (
	// A limit is shared by sharersPerSecond daemons for each request a second that it allows, and
	// extraSharers more. Each has at most one request saved, so that this is also the largest
	// burst beyond the limit.
	sharersPerSecond = 2
	extraSharers     = 3
	// minLimit, in requests a second, replaces a lower limit, so that its end is noticed, and
	// maxLimit a higher one, which no upstream reaches.
	minLimit = 0.1
	maxLimit = 1e6
	// limitTTL is how long a limit is valid after it was last named.
	limitTTL = 30 * time.Second
)

// Limit is the rate to which an upstream limits the requests from all daemons together, as observed
// at a time.
type Limit struct {
	// Limited reports that there is a limit, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// At is when a response that named the limit arrived, or when the request was sent whose
	// response named none.
	At time.Time
}

// sameAs reports whether two observations say the same.
func (l Limit) sameAs(o Limit) bool { return l.Limited == o.Limited && l.PerSecond == o.PerSecond }

// Pacer paces the requests of this daemon to an upstream that limits their rate. Its zero value
// paces nothing. It is not safe for concurrent use.
type Pacer struct {
	limit Limit
	// rate is this daemon's part of the limit, and tokens the number of requests that it may send
	// at once, as of updatedAt. It is at most one, and negative if requests wait for their turn.
	rate      float64
	tokens    float64
	updatedAt time.Time
}

// refill adds the tokens since the last update.
func (p *Pacer) refill(now time.Time) {
	p.tokens = min(p.tokens+p.rate*now.Sub(p.updatedAt).Seconds(), 1)
	p.updatedAt = now
}

// Wait returns how long a request has to wait for its turn, and false if there is none in sight
// for this daemon.
func (p *Pacer) Wait(now time.Time) (time.Duration, bool) {
	if !p.limit.Limited {
		return 0, true
	}
	if p.rate == 0 {
		return 0, false
	}
	p.refill(now)
	missing := max(1-p.tokens, 0)
	return time.Duration(missing / p.rate * float64(time.Second)), true
}

// RetryAfter returns when a request that could not wait for its turn may come back, or zero if this
// daemon has no part of the limit. The times are spread over the time in which one request is taken.
func (p *Pacer) RetryAfter(random *rand.Rand, now time.Time) time.Duration {
	wait, ok := p.Wait(now)
	if !ok || wait == 0 {
		return 0
	}
	return wait + time.Duration(random.Float64()/p.rate*float64(time.Second))
}

// Ready reports whether a request may be sent now.
func (p *Pacer) Ready(now time.Time) bool {
	wait, ok := p.Wait(now)
	return ok && wait == 0
}

// Take reserves the next turn.
func (p *Pacer) Take(now time.Time) {
	if !p.limit.Limited {
		return
	}
	p.refill(now)
	p.tokens--
}

// Expire ends a limit that has not been named for limitTTL. The daemons that get no part of it try
// the upstream again one after the other.
func (p *Pacer) Expire(rank int, now time.Time) {
	ttl := limitTTL + time.Duration(float64(rank)/p.perSecond()*float64(time.Second))
	if p.limit.Limited && now.Sub(p.limit.At) > ttl {
		*p = Pacer{}
	}
}

// Rate returns this daemon's part of the limit, in requests a second.
func (p *Pacer) Rate() float64 { return p.rate }

// Limit returns the limit as it was last observed.
func (p *Pacer) Limit() Limit { return p.limit }

// Observe records an observation unless a later one is known. It reports whether it says something
// new. rank and daemons are as for Share.
func (p *Pacer) Observe(l Limit, rank, daemons int, now time.Time) (changed bool) {
	old := p.limit
	switch {
	case !l.At.After(old.At) || !old.Limited && !l.Limited:
		return false
	case l.sameAs(old):
		p.limit.At = l.At
		return false
	case !l.Limited:
		*p = Pacer{
			limit: l,
		}
		return true
	}
	p.refill(now)
	p.limit = l
	if !old.Limited {
		p.tokens = p.firstTokens(rank, daemons)
	}
	p.Share(rank, daemons, now)
	return true
}

// firstTokens returns the tokens with which a daemon begins under a limit: the first requests of the
// daemons that share it are spread over the time in which each gets one.
func (p *Pacer) firstTokens(rank, daemons int) float64 {
	sharers := p.sharers(daemons)
	return float64(rank%sharers+1) / float64(sharers)
}

// sharers returns the number of daemons that share the limit.
func (p *Pacer) sharers(daemons int) int {
	return min(daemons, int(sharersPerSecond*p.perSecond())+extraSharers)
}

func (p *Pacer) perSecond() float64 {
	return min(max(p.limit.PerSecond, minLimit), maxLimit)
}

// Share sets this daemon's part of the limit. rank is its place among the daemons for this upstream.
func (p *Pacer) Share(rank, daemons int, now time.Time) {
	p.refill(now)
	p.rate = 0
	if sharers := p.sharers(daemons); rank < sharers {
		p.rate = p.perSecond() / float64(sharers)
	}
}

// Rank returns the place of a daemon in the order of all daemons for one process, which is the same at
// all daemons with the same names, and the number of daemons. key identifies the process.
func Rank(self string, names []string, key uint64) (rank, daemons int) {
	own := order(self, key)
	daemons = 1
	for _, name := range names {
		if name == self {
			continue
		}
		daemons++
		if order(name, key) < own {
			rank++
		}
	}
	return rank, daemons
}

// order returns the hash by which the daemons are ordered.
func order(name string, key uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	hi, lo := bits.Mul64(ident.Hash(name)^key, multiplier)
	return hi ^ lo
}
