package upstream_test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	// pauseMargin and maxInPause are the users' bound: from pauseMargin after an upstream has asked a
	// daemon for a pause to its end, it gets at most maxInPause requests from that daemon.
	pauseMargin = 500 * time.Millisecond
	maxInPause  = 2
	pausesFrom  = 5 * time.Second
	pausesUntil = 15 * time.Second
)

// TestUpstreamsThatAskForAPauseGetNone guards against requests to an upstream that has asked for a pause,
// against its ejection as if it had failed, and against all daemons returning to it at once.
func TestUpstreamsThatAskForAPauseGetNone(t *testing.T) {
	datadriven.Walk(t, "testdata/pause", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			pause := scanDuration(t, d, "pause", 0)
			p, before := playPauses(t, d, pause, true), playPauses(t, d, pause, false)
			return p.describe() + p.compare(&before.load)
		})
	})
}

// pausePlay is a load during which some upstreams ask for pauses, from pausesFrom to pausesUntil.
type pausePlay struct {
	load
	pause time.Duration
}

func playPauses(t *testing.T, d *datadriven.TestData, pause time.Duration, informed bool) *pausePlay {
	p := &pausePlay{
		load: load{
			informed: informed,
		},
		pause: pause,
	}
	p.scan(t, d)
	p.play(t, p.incident)
	return p
}

func (p *pausePlay) incident(l *load) {
	time.Sleep(pausesFrom)
	for _, u := range l.affectedProcesses() {
		u.setPause(p.pause)
	}
	time.Sleep(pausesUntil - pausesFrom)
	for _, u := range l.affectedProcesses() {
		u.setPause(0)
	}
}

func (p *pausePlay) describe() string {
	var out strings.Builder
	fmt.Fprintf(&out, "most requests in a pause, over %d: %d\n", maxInPause, max(p.mostInPause()-maxInPause, 0))
	fmt.Fprintf(&out, "refused: %s\n", tenths(p.callers.refused(), p.callers.all()))
	fmt.Fprintf(&out, "refused with a time to come back that is too early: %d\n", p.early())
	fmt.Fprintf(&out, "an equal share after the pauses: %v\n", p.equalShareAfter())
	return out.String()
}

func tenths(part, all int) string {
	return strconv.FormatFloat(float64(part*10/all)/10, 'f', 1, 64)
}

// mostInPause returns the highest number of requests of a daemon in a pause of an upstream.
func (p *pausePlay) mostInPause() int {
	most := 0
	for _, asked := range p.arrivals {
		if asked.outcome != rejected {
			continue
		}
		n := 0
		for _, a := range p.arrivals {
			since := a.at.Sub(asked.doneAt)
			if a.daemon == asked.daemon && a.addr == asked.addr && since > pauseMargin && since < p.pause {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// early returns the number of refusals whose time to come back is before any upstream takes work again.
func (p *pausePlay) early() int {
	n := 0
	for _, r := range p.refusals {
		if r.retryAfter <= 0 || r.at.Add(r.retryAfter).Before(p.firstEnd(r.at)) {
			n++
		}
	}
	return n
}

// firstEnd returns when the first upstream takes work again from some daemon, as known at a time.
func (p *pausePlay) firstEnd(now time.Time) time.Time {
	last := make(map[string]time.Time)
	for _, a := range p.arrivals {
		if a.outcome == rejected && !a.doneAt.After(now) {
			last[fmt.Sprint(a.daemon, " ", a.addr)] = a.doneAt
		}
	}
	var first time.Time
	for _, asked := range last {
		if end := asked.Add(p.pause); first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first
}

// equalShareAfter reports whether the upstreams that paused get half of an equal share at least, from 5 s
// after the last pause on.
func (p *pausePlay) equalShareAfter() bool {
	from := p.began.Add(pausesUntil + p.pause + 5*time.Second)
	affected, all := 0, 0
	for _, a := range p.arrivals {
		if !a.at.After(from) {
			continue
		}
		all++
		if slices.Contains(p.affectedProcesses(), p.processAt(a.addr)) {
			affected++
		}
	}
	return float64(affected*p.upstreamCount) >= 0.5*float64(all*p.affected)
}
