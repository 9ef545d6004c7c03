package replay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// Config is one run of a trace.
type Config struct {
	Deployment Deployment
	Scenario   Scenario
	Trace      []Arrival
	Policy     Policy
	Seed       uint64
}

const (
	// settleTime is the time after the last arrival in which calls end.
	drainTime = time.Minute
	// connectTime is the time that a caller takes to see that an entry host
	// does not answer.
	connectFailureTime = 5 * time.Millisecond
	// callerOneWay is the time between callers and entry hosts.
	callerOneWayDelay = 2 * time.Millisecond
)

// player plays one trace.
type player struct {
	cfg     Config
	tables  *table.Tables
	fleet   *fleet
	entries []*entry

	mu      sync.Mutex
	results []Result
}

// Play plays the trace and returns what became of it.
func Play(cfg Config) (*Run, error) {
	tables, err := cfg.Deployment.Tables()
	if err != nil {
		return nil, err
	}
	p := &player{
		cfg:    cfg,
		tables: tables,
		fleet:  newFleet(cfg),
	}
	for i := range cfg.Deployment.EntryHosts {
		p.entries = append(p.entries, newEntry(cfg, i, p.fleet, p))
	}
	for _, f := range cfg.Scenario.Faults {
		go p.injectFault(f)
	}
	var wg sync.WaitGroup
	start := time.Now()
	for i, a := range cfg.Trace {
		// No two arrivals fall on the same nanosecond, so that runs with the
		// same seed are alike.
		time.Sleep(time.Until(start.Add(a.At() + time.Duration(i))))
		wg.Go(func() { p.runCaller(i, a) })
	}
	wg.Wait()
	time.Sleep(drainTime)
	return p.collectRun(), nil
}

// caller is the life of one request.
func (p *player) runCaller(i int, a Arrival) {
	rng := rand.New(rand.NewPCG(p.cfg.Seed, uint64(i)))
	res := Result{
		Arrival: a,
	}
	start := time.Now()
	for res.Tries < max(p.cfg.Scenario.Tries, 1) {
		res.Tries++
		id := fmt.Sprintf("r%d-%d", i, res.Tries)
		sent := time.Now()
		o := p.send(id, a, rng.IntN(len(p.entries)))
		res.record(o, time.Since(start), time.Since(sent))
		res.falseNotRun = res.falseNotRun || p.falseNotRun(id, o)
		rejected, ok := o.(outcome.NotRun)
		if !ok {
			break
		}
		time.Sleep(rejected.RetryAfter + time.Duration(rng.Int64N(int64(rejected.RetryAfter/2+1))))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results = append(p.results, res)
}

// request sends a to its entry host, and to the next ones while they are lost
// and the caller may try again.
func (p *player) send(id string, a Arrival, first int) outcome.Outcome {
	deadline := time.Now().Add(a.Deadline())
	row, _ := p.tables.Route(a.Route)
	time.Sleep(callerOneWayDelay)
	defer time.Sleep(callerOneWayDelay)
	for n := range p.entries {
		e := p.entries[(first+n)%len(p.entries)]
		if e.lost.Load() {
			time.Sleep(connectFailureTime)
			continue
		}
		o, alive := e.run(pipeline.Request{
			ID:        fmt.Sprintf("%s-%d", id, n),
			Workspace: a.Workspace,
			Input:     a.Input(),
			Route:     row.Value,
			Tables:    p.tables,
			Deadline:  deadline.Add(-callerOneWayDelay),
		})
		if alive {
			return o
		}
		if !a.Repeatable {
			return outcome.Unknown{
				RequestID: id,
				Code:      outcome.CodeOwnerGone,
			}
		}
	}
	return outcome.NotRun{
		RequestID: id,
		Code:      outcome.CodeNotReady,
	}
}

// untrue reports whether o says that the request was not run and it was.
func (p *player) falseNotRun(id string, o outcome.Outcome) bool {
	if _, ok := o.(outcome.NotRun); !ok {
		return false
	}
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for n := range p.entries {
		if p.fleet.executions[fmt.Sprintf("%s-%d", id, n)] > 0 {
			return true
		}
	}
	return false
}

// gossip passes on what from saw.
func (p *player) gossipState(from *entry, addr string, st upstream.State) {
	time.AfterFunc(gossipDelay, func() {
		for _, e := range p.entries {
			if e != from {
				e.upstreams.OverrideState(addr, st, "seen by a peer")
			}
		}
	})
}

// living returns the number of entry hosts that are not lost.
func (p *player) liveEntries() int {
	n := 0
	for _, e := range p.entries {
		if !e.lost.Load() {
			n++
		}
	}
	return n
}

// fault runs one fault from its start to its end.
func (p *player) injectFault(f Fault) {
	time.Sleep(time.Duration(f.AtMs) * time.Millisecond)
	if f.Kind == "entry_lost" {
		for _, e := range p.entries[:f.Count] {
			e.kill()
		}
		return
	}
	conditions := map[string]condition{
		"slow":    conditionLive,
		"dead":    conditionDead,
		"leaving": conditionLeaving,
		"failing": conditionFailing,
	}
	for i := range f.Count {
		p.fleet.servers[upstreamAddr(f.Pool, i)].setCondition(conditions[f.Kind], max(f.Factor, 1))
	}
	if f.UntilMs == 0 {
		return
	}
	time.Sleep(time.Duration(f.UntilMs-f.AtMs) * time.Millisecond)
	for i := range f.Count {
		p.fleet.servers[upstreamAddr(f.Pool, i)].setCondition(conditionLive, 1)
	}
}
