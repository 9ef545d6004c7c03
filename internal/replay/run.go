package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sequoiafork/internal/outcome"
)

// Result is the outcome of one arrival.
type Result struct {
	Arrival Arrival
	Outcome string
	Code    string
	// Cause is the outcome with its code and, if it has one, the stage.
	Cause       string
	InTime      bool
	Tries       int
	Latency     time.Duration
	falseNotRun bool
}

// record stores the outcome of the last try. The latency counts from the first try,
// but the deadline applies to each try on its own.
func (r *Result) record(o outcome.Outcome, total, try time.Duration) {
	r.Outcome = outcome.Name(o)
	r.Code = string(outcome.CodeOf(o))
	r.Latency = total
	r.Cause = describeCause(o)
	_, answered := o.(outcome.Answered)
	r.InTime = answered && try <= r.Arrival.Deadline()
}

// describeCause returns the value of Result.Cause for o.
func describeCause(o outcome.Outcome) string {
	text := outcome.Name(o) + " " + string(outcome.CodeOf(o))
	switch o := o.(type) {
	case outcome.Failed:
		return text + " at " + o.Stage
	case outcome.Unknown:
		return text + " at " + o.Stage
	}
	return text
}

// Run holds the results and costs of one replay of a trace.
type Run struct {
	Results []Result
	Costs   map[string]Cost
	// FalseNotRun counts requests that were reported as "not run" but had run, and
	// DuplicateExecutions the executions of non-idempotent stages beyond the first.
	FalseNotRun         int
	DuplicateExecutions int
}

func (p *player) collectRun() *Run {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	r := &Run{
		Results: p.results,
		Costs:   make(map[string]Cost),
	}
	for name, c := range p.fleet.costs {
		r.Costs[name] = *c
	}
	for _, res := range r.Results {
		if res.falseNotRun {
			r.FalseNotRun++
		}
	}
	for _, n := range p.fleet.nonIdempotentRuns {
		r.DuplicateExecutions += n - 1
	}
	return r
}

// Counts holds the number of results by outcome, and the latencies of requests that
// were answered in time.
type Counts struct {
	Sent, InTime, Late, NotRun, Failed, Unknown int
	Latencies                                   *hdrhistogram.Histogram
}

// Count counts the results that match.
func (r *Run) Count(match func(Result) bool) Counts {
	const digits = 2
	c := Counts{
		Latencies: hdrhistogram.New(1, time.Hour.Microseconds(), digits),
	}
	for _, res := range r.Results {
		if match(res) {
			c.add(res)
		}
	}
	return c
}

// All matches every result.
func All(Result) bool { return true }

func (c *Counts) add(res Result) {
	c.Sent++
	switch {
	case res.InTime:
		c.InTime++
		_ = c.Latencies.RecordValue(res.Latency.Microseconds())
	case res.Outcome == "answered":
		c.Late++
	case res.Outcome == "not_run":
		c.NotRun++
	case res.Outcome == "failed":
		c.Failed++
	default:
		c.Unknown++
	}
}

// LatencyPercentile returns the q-th percentile, from 0 to 100, of the latencies of
// requests that were answered in time.
func (c Counts) LatencyPercentile(q float64) time.Duration {
	return time.Duration(c.Latencies.ValueAtQuantile(q)) * time.Microsecond
}

// Attainment returns the fraction of requests that were answered in time.
func (c Counts) Attainment() float64 {
	return float64(c.InTime) / float64(max(c.Sent, 1))
}

// CostPerAnswer returns the upstream seconds per request answered in time.
func (r *Run) CostPerAnswer() float64 {
	busy := time.Duration(0)
	for _, c := range r.Costs {
		busy += c.Busy
	}
	return busy.Seconds() / float64(max(r.Count(All).InTime, 1))
}
