package upstream_test

import (
	"sync"
	"time"

	"sequoiafork/internal/hostset"
	"sequoiafork/internal/upstream"
)

// process is one upstream.
type process struct {
	addr  string
	slots chan struct{}
	gone  chan struct{} // closed when it exits

	mu      sync.Mutex
	pause   time.Duration // asked for in each response while it is positive
	leaving bool          // said in each response
}

func (p *process) setPause(pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = pause
}

func (p *process) setLeaving() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaving = true
}

func (p *process) notice() upstream.Notice {
	p.mu.Lock()
	defer p.mu.Unlock()
	return upstream.Notice{
		Leaving: p.leaving,
		Pause:   p.pause,
	}
}

func (p *process) isGone() bool {
	select {
	case <-p.gone:
		return true
	default:
		return false
	}
}

// entry returns what the store lists of the process.
func (p *process) entry(st upstream.State) hostset.Entry {
	return hostset.Entry{
		Host: upstream.Host{
			Addr:        p.addr,
			Incarnation: p.addr,
			Service:     "llm",
			State:       st,
		},
		Usable: true,
	}
}

// run runs a request until it is done, the process exits or the caller leaves, and returns how long it ran.
func (p *process) run(work time.Duration, left <-chan time.Time) (attemptOutcome, time.Duration) {
	if p.isGone() {
		return unreachable, 0
	}
	select {
	case p.slots <- struct{}{}:
	case <-p.gone:
		return cut, 0
	case <-left:
		return abandoned, 0
	}
	defer func() { <-p.slots }()
	began := time.Now()
	select {
	case <-time.After(work):
		return answered, work
	case <-p.gone:
		return cut, time.Since(began)
	case <-left:
		return abandoned, time.Since(began)
	}
}
