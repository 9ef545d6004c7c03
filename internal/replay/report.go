package replay

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Summary is the median, minimum and maximum of a metric over several seeds.
type Summary struct {
	Median, Min, Max float64
}

// Summarize returns the summary of the values, of which there must be at least one.
func Summarize(values []float64) Summary {
	const half = 0.5
	sorted := slices.Sorted(slices.Values(values))
	return Summary{
		Median: stat.Quantile(half, stat.Empirical, sorted, nil),
		Min:    sorted[0],
		Max:    sorted[len(sorted)-1],
	}
}

// String returns "median [min max]" with three decimals.
func (s Summary) String() string {
	return fmt.Sprintf("%.3f [%.3f %.3f]", s.Median, s.Min, s.Max)
}

// Report holds the runs of one scenario with one policy, one for each seed.
type Report struct {
	Policy   string
	Scenario Scenario
	// Bound is the result of the function Bound for the scenario.
	Bound int
	// Shares are the fair shares of the bottleneck pool between From and To, by
	// workspace, and BottleneckRoutes the routes that use the pool.
	Shares           map[string]float64
	BottleneckRoutes map[string]bool
	From             time.Duration
	To               time.Duration
	Runs             []*Run
	// FaultFreeRuns are the runs of the same policy and seeds without faults.
	FaultFreeRuns []*Run
}

// summarize returns the summary of a metric over all runs.
func (r Report) summarize(metric func(*Run) float64) Summary {
	values := make([]float64, len(r.Runs))
	for i, run := range r.Runs {
		values[i] = metric(run)
	}
	return Summarize(values)
}

// Attainment returns the fraction of requests that were answered in time.
func (r Report) Attainment() Summary {
	return r.summarize(func(run *Run) float64 { return run.Count(All).Attainment() })
}

// AttainmentOfBound returns the number of requests answered in time, as a fraction
// of the bound.
func (r Report) AttainmentOfBound() Summary {
	return r.summarize(func(run *Run) float64 { return float64(run.Count(All).InTime) / float64(r.Bound) })
}

// CostPerAnswer returns the upstream seconds per request answered in time.
func (r Report) CostPerAnswer() Summary {
	return r.summarize((*Run).CostPerAnswer)
}

// CostRatio returns the cost per answer, divided by that of the fault-free run with
// the same seed.
func (r Report) CostRatio() Summary {
	values := make([]float64, len(r.Runs))
	for i, run := range r.Runs {
		values[i] = run.CostPerAnswer() / r.FaultFreeRuns[i].CostPerAnswer()
	}
	return Summarize(values)
}

// MinShareRatio returns the smallest fraction of its fair share that any workspace
// other than the flooding one got, at most 1.
func (r Report) MinShareRatio() Summary {
	return r.summarize(func(run *Run) float64 {
		minRatio := 1.0
		for name, share := range r.Shares {
			if name == r.Scenario.FloodWorkspace || share == 0 {
				continue
			}
			got := run.Count(func(res Result) bool {
				at := res.Arrival.At()
				return res.Arrival.Workspace == name && at >= r.From && at < r.To && r.BottleneckRoutes[res.Arrival.Route]
			})
			minRatio = min(minRatio, float64(got.InTime)/share)
		}
		return minRatio
	})
}

// Violations counts the violated guarantees: requests reported as "not run" that had
// run, and repeated executions of non-idempotent stages.
func (r Report) Violations() int {
	n := 0
	for _, run := range r.Runs {
		n += run.FalseNotRun + run.DuplicateExecutions
	}
	return n
}

// Shortfalls lists the expected outcomes that the medians don't reach.
func (r Report) Shortfalls() []string {
	var list []string
	e := r.Scenario.Expect
	if got := r.AttainmentOfBound().Median; got < e.AttainmentOfBound {
		list = append(list, fmt.Sprintf("attainment %.3f of the bound, want %.3f", got, e.AttainmentOfBound))
	}
	if got := r.CostRatio().Median; e.CostRatio > 0 && got > e.CostRatio {
		list = append(list, fmt.Sprintf("cost ratio %.3f, want %.3f", got, e.CostRatio))
	}
	if got := r.MinShareRatio().Median; e.FairShare > 0 && got < e.FairShare {
		list = append(list, fmt.Sprintf("fair share %.3f, want %.3f", got, e.FairShare))
	}
	return list
}

// WriteComparison writes one line for each policy.
func WriteComparison(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tattainment\tof bound\tupstream s/answer\tcost ratio\tfair share\tlate\tnot_run\tfailed\tunknown\tp50\tp95\tp99\tbroken")
	for _, r := range reports {
		c := r.Runs[0].Count(All)
		fmt.Fprintf(t, "%s\t%v\t%.3f\t%v\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%v\t%v\t%v\t%d\n",
			r.Policy, r.Attainment(), r.AttainmentOfBound().Median, r.CostPerAnswer(), r.CostRatio().Median, r.MinShareRatio().Median,
			c.Late, c.NotRun, c.Failed, c.Unknown, c.roundedPercentile(50), c.roundedPercentile(95), c.roundedPercentile(99), r.Violations())
	}
	return t.Flush()
}

// roundedPercentile returns a latency percentile, rounded to 10 ms.
func (c Counts) roundedPercentile(q float64) time.Duration {
	return c.LatencyPercentile(q).Round(10 * time.Millisecond)
}

// WriteDetails writes the results of a run by route, workspace and cause, and its
// cost by pool.
func WriteDetails(w io.Writer, run *Run) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "part\tsent\tin time\tlate\tnot_run\tfailed\tunknown\tp50\tp95\tp99")
	groupings := []func(Result) string{
		func(r Result) string { return "route " + r.Arrival.Route },
		func(r Result) string { return "workspace " + r.Arrival.Workspace },
	}
	for _, groupOf := range groupings {
		for _, name := range run.groupNames(groupOf) {
			c := run.Count(func(r Result) bool { return groupOf(r) == name })
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t%v\n", name,
				c.Sent, c.InTime, c.Late, c.NotRun, c.Failed, c.Unknown, c.roundedPercentile(50), c.roundedPercentile(95), c.roundedPercentile(99))
		}
	}
	for _, name := range run.groupNames(func(a Result) string { return a.Cause }) {
		n := run.Count(func(r Result) bool { return r.Cause == name }).Sent
		fmt.Fprintf(t, "cause %s\t%d\n", name, n)
	}
	answered := float64(max(run.Count(All).InTime, 1))
	fmt.Fprintln(t, "pool\texecutions/answer\tseconds/answer")
	for _, name := range run.poolNames() {
		c := run.Costs[name]
		fmt.Fprintf(t, "%s\t%.3f\t%.4f\n", name, float64(c.Executions)/answered, c.Busy.Seconds()/answered)
	}
	return t.Flush()
}

// groupNames returns the distinct values of groupOf over all results, sorted.
func (r *Run) groupNames(groupOf func(Result) string) []string {
	var names []string
	for _, res := range r.Results {
		if name := groupOf(res); !slices.Contains(names, name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, strings.Compare)
	return names
}

func (r *Run) poolNames() []string {
	var names []string
	for name := range r.Costs {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
