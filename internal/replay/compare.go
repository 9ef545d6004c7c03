package replay

import "time"

// Comparison plays a scenario with several policies and the same seeds.
type Comparison struct {
	Deployment Deployment
	Scenario   Scenario
	Trace      []Arrival
	Policies   []Policy
	Seeds      []uint64
	// Play plays one run. It lets the caller choose the clock, for example by running
	// the function Play in a testing/synctest bubble.
	Play func(Config) (*Run, error)
}

// Reports returns one report for each policy.
func (c Comparison) Reports() ([]Report, error) {
	var reports []Report
	for _, p := range c.Policies {
		r := c.newReport(p)
		for _, seed := range c.Seeds {
			if err := c.addRuns(&r, p, seed); err != nil {
				return nil, err
			}
		}
		reports = append(reports, r)
	}
	return reports, nil
}

func (c Comparison) newReport(p Policy) Report {
	from, to := c.Scenario.window(c.Trace)
	return Report{
		Policy:           p.Name,
		Scenario:         c.Scenario,
		Bound:            Bound(c.Deployment, c.Scenario, c.Trace),
		Shares:           FairShares(c.Deployment, c.Scenario, c.Trace, from, to),
		BottleneckRoutes: c.Deployment.bottleneckRoutes(c.Trace),
		From:             from,
		To:               to,
	}
}

// addRuns plays one seed with the faults and once more without them. A scenario
// without faults is played once, and the run also counts as the fault-free one.
func (c Comparison) addRuns(r *Report, p Policy, seed uint64) error {
	cfg := Config{
		Deployment: c.Deployment,
		Scenario:   c.Scenario,
		Trace:      c.Trace,
		Policy:     p,
		Seed:       seed,
	}
	run, err := c.Play(cfg)
	if err != nil {
		return err
	}
	r.Runs = append(r.Runs, run)
	if len(c.Scenario.Faults) > 0 || c.Scenario.LoadLagMs > 0 {
		cfg.Scenario.Faults = nil
		cfg.Scenario.LoadLagMs = 0
		run, err = c.Play(cfg)
	}
	r.FaultFreeRuns = append(r.FaultFreeRuns, run)
	return err
}

// window returns the period of the trace in which fair shares are compared: the
// flood if a workspace floods the others, otherwise the whole trace.
func (s Scenario) window(trace []Arrival) (from, to time.Duration) {
	if s.FloodWorkspace != "" {
		return time.Duration(s.FloodFromMs) * time.Millisecond, time.Duration(s.FloodToMs) * time.Millisecond
	}
	return 0, trace[len(trace)-1].At() + 1
}
