package replay

import (
	"sequoiafork/internal/admission"
	"sequoiafork/internal/budget"
	"sequoiafork/internal/upstream"
)

// Policy configures the packages that make decisions while a trace is played.
type Policy struct {
	Name      string
	Upstream  upstream.Config
	Admission admission.Config
	Budget    budget.Config
	NoHedge   bool
	NoCache   bool
}

// Policies returns the system's own policy, followed by the baselines. Each baseline
// replaces one decision by its simplest form, and the last one all of them.
func Policies() []Policy {
	balancing := func(name string, p upstream.Policy) Policy {
		return Policy{
			Name: name,
			Upstream: upstream.Config{
				Policy: p,
			},
		}
	}
	return []Policy{
		{
			Name: "own",
		},
		balancing("round_robin", upstream.RoundRobin{}),
		balancing("random", upstream.Random{}),
		balancing("least_in_flight", upstream.LeastInFlight{}),
		{
			Name: "no_ejection",
			Upstream: upstream.Config{
				NoEjection: true,
			},
		},
		{
			Name:    "no_hedge",
			NoHedge: true,
		},
		{
			Name:    "no_reuse",
			NoCache: true,
		},
		{
			Name: "no_budget",
			Budget: budget.Config{
				Unlimited: true,
			},
		},
		{
			Name: "no_admission",
			Admission: admission.Config{
				Discipline: admission.Unlimited{},
			},
		},
		{
			Name: "first_come",
			Admission: admission.Config{
				Discipline: admission.FIFO{},
			},
		},
		{
			Name: "plain",
			Upstream: upstream.Config{
				Policy:     upstream.RoundRobin{},
				NoEjection: true,
			},
			Admission: admission.Config{
				Discipline: admission.Unlimited{},
			},
			Budget: budget.Config{
				Unlimited: true,
			},
			NoHedge: true,
		},
	}
}
