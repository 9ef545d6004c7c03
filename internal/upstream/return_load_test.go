package upstream_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/upstream"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	copiedAt          = 5 * time.Second
	returnsAt         = 10 * time.Second
	awayTime          = time.Second
	// earlyLeaveAt is when the first half of the upstreams leaves, between copy and return, and lateLeaveAt
	// when the second half does. exitAfter is how long they take to exit.
	earlyLeaveAt = 6500 * time.Millisecond
	lateLeaveAt  = 11 * time.Second
	exitAfter    = 2 * time.Second
)

// TestCallersWhenStoreReturns guards against requests to upstreams that left before or after the store came
// back from an older copy, because the copy lists them as live, or because the new records look old.
func TestCallersWhenStoreReturns(t *testing.T) {
	datadriven.Walk(t, "testdata/return", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return playReturn(t, d, true).compare(playReturn(t, d, false))
		})
	})
}

// playReturn plays a return of the store. Daemons that are not informed know no eras.
func playReturn(t *testing.T, d *datadriven.TestData, informed bool) *load {
	l := &load{
		informed: informed,
	}
	l.scan(t, d)
	l.play(t, func(l *load) {
		i := returnIncident{
			load:    l,
			leaving: make(map[*process]bool),
		}
		const step = 100 * time.Millisecond
		for passed := time.Duration(0); passed < playLength; passed += step {
			i.step(passed)
			time.Sleep(step)
		}
	})
	return l
}

// returnIncident is a return of the store from a copy, and upstreams that leave before and after it.
type returnIncident struct {
	*load
	copied  int // records of the copy
	away    bool
	leaving map[*process]bool
}

// step plays what happens at a time.
func (i *returnIncident) step(passed time.Duration) {
	half := i.affected / 2
	early, late := i.processes[:half], i.processes[half:i.affected]
	switch passed {
	case copiedAt:
		i.copied = len(i.store.records)
	case earlyLeaveAt:
		i.leave(early)
	case earlyLeaveAt + exitAfter:
		i.exit(early)
	case returnsAt - awayTime:
		i.setAway(true)
	case returnsAt:
		i.store.comeBack(i.copied)
		i.setAway(false)
	case lateLeaveAt:
		i.leave(late)
	case lateLeaveAt + exitAfter:
		i.exit(late)
	case returnsAt + expiryTime:
		i.expire(early)
	}
	i.sendHeartbeats(passed)
	i.applyAll()
}

// sendHeartbeats writes the entries again whose time it is.
func (i *returnIncident) sendHeartbeats(passed time.Duration) {
	if i.away {
		return
	}
	for n, p := range i.processes {
		offset := time.Duration(n%12) * 100 * time.Millisecond
		if p.isGone() || (passed-offset)%heartbeatInterval != 0 {
			continue
		}
		i.store.write(p, i.stateOf(p))
	}
}

func (i *returnIncident) stateOf(p *process) upstream.State {
	if i.leaving[p] {
		return upstream.Leaving
	}
	return upstream.Live
}

func (i *returnIncident) leave(list []*process) {
	for _, p := range list {
		i.leaving[p] = true
		i.store.write(p, upstream.Leaving)
	}
}

func (i *returnIncident) exit(list []*process) {
	for _, p := range list {
		close(p.gone)
		i.store.remove(p)
	}
}

// expire removes the entries of upstreams that send no heartbeats.
func (i *returnIncident) expire(list []*process) {
	for _, p := range list {
		i.store.remove(p)
	}
}

func (i *returnIncident) setAway(away bool) {
	i.away = away
	for _, d := range i.daemons {
		if away {
			d.hosts.MarkStoreUnavailable(time.Now())
		} else {
			d.hosts.MarkStoreAvailable(time.Now())
		}
	}
}

// comeBack makes the store come back from a copy. Daemons that are not informed take offsets of the new era
// for those of the old one.
func (s *store) comeBack(copied int) {
	s.records = s.records[:copied]
	if s.load.informed {
		s.era++
	}
	for _, d := range s.load.daemons {
		if s.load.informed {
			d.hosts.Rewind(s.list(), s.end())
		} else {
			d.hosts.Replace(s.list(), s.end())
		}
	}
}
