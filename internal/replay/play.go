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

// Config configures one run of a trace.
type Config struct {
	Deployment Deployment
	Scenario   Scenario
	Trace      []Arrival
	Policy     Policy
	Seed       uint64
}

const (
	// drainTime is how long Play waits after the last response, so that upstreams
	// finish the calls of cancelled attempts and their cost is counted.
	drainTime = time.Minute
	// connectFailureTime is the time until a caller's attempt to connect to a lost
	// entry host fails.
	connectFailureTime = 5 * time.Millisecond
	// callerOneWayDelay is the network delay between callers and entry hosts.
	callerOneWayDelay = 2 * time.Millisecond
)

// player plays one trace.
type player struct {
	cfg     Config
	tables  *table.Tables
	fleet   *fleet
	entries []*entry

	// results holds the result of each arrival, in the order of the trace.
	results []Result
}

// Play plays the trace and returns the results and costs of its requests.
func Play(cfg Config) (*Run, error) {
	tables, err := cfg.Deployment.Tables()
	if err != nil {
		return nil, err
	}
	p := &player{
		cfg:     cfg,
		tables:  tables,
		fleet:   newFleet(cfg),
		results: make([]Result, len(cfg.Trace)),
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
		index := arrivalIndex(i)
		time.Sleep(time.Until(start.Add(a.At() + index.offset())))
		wg.Go(func() { p.runCaller(index, a) })
	}
	wg.Wait()
	time.Sleep(drainTime)
	return p.collectRun(), nil
}

// runCaller sends one request, repeats it while it is rejected, as often as the
// scenario allows, and records the result.
func (p *player) runCaller(i arrivalIndex, a Arrival) {
	rng := rand.New(rand.NewPCG(p.cfg.Seed, uint64(i)))
	res := Result{
		Arrival: a,
	}
	start := time.Now()
	for res.Tries < max(p.cfg.Scenario.Tries, 1) {
		res.Tries++
		id := i.requestID(res.Tries)
		sent := time.Now()
		o := p.send(i, id, a, rng.IntN(len(p.entries)))
		res.record(o, time.Since(start), time.Since(sent))
		res.falseNotRun = res.falseNotRun || p.falseNotRun(id, o)
		rejected, ok := o.(outcome.NotRun)
		if !ok {
			break
		}
		time.Sleep(rejected.RetryAfter + time.Duration(rng.Int64N(int64(rejected.RetryAfter/2+1))))
	}
	p.results[i] = res
}

// send sends a to the entry host first. If a host is lost, it tries the next one,
// unless the host may have run the request already and a is not repeatable.
func (p *player) send(i arrivalIndex, id string, a Arrival, first int) outcome.Outcome {
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
		o, alive := e.run(i, pipeline.Request{
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

// falseNotRun reports whether o is "not run" although an upstream executed a stage of
// the request.
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

// gossipState reports an upstream state that from observed to all other entry hosts.
func (p *player) gossipState(from *entry, addr string, st upstream.State) {
	time.AfterFunc(gossipDelay, func() {
		for _, e := range p.entries {
			if e != from {
				e.upstreams.OverrideState(addr, st, "reported by a peer")
			}
		}
	})
}

// liveEntries returns the number of entry hosts that are not lost.
func (p *player) liveEntries() int {
	n := 0
	for _, e := range p.entries {
		if !e.lost.Load() {
			n++
		}
	}
	return n
}

// injectFault waits for the start of one fault, injects it, and reverts it at its end.
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
