package operatorhttp

import (
	"time"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/operatorapi"
)

func routeRow(row table.RouteRow) operatorapi.RouteRow {
	spec := operatorapi.RouteSpec{
		Stages:     []operatorapi.Stage{},
		DeadlineMs: row.Value.Deadline.Milliseconds(),
	}
	for _, s := range row.Value.Stages {
		spec.Stages = append(spec.Stages, stageSpec(s))
	}
	return operatorapi.RouteRow{
		Name:     row.Value.Name,
		Revision: int64(row.Revision),
		Route:    spec,
	}
}

func stageSpec(s table.Stage) operatorapi.Stage {
	spec := operatorapi.Stage{
		Name: s.Name,
		Pool: s.Pool,
	}
	if s.NonIdempotent {
		spec.NotRepeatable = operatorapi.NewOptBool(true)
	}
	if s.Cacheable {
		spec.Reusable = operatorapi.NewOptBool(true)
	}
	if s.Timeout != 0 {
		spec.TimeoutMs = operatorapi.NewOptInt64(s.Timeout.Milliseconds())
	}
	if s.Model != "" {
		spec.Model = operatorapi.NewOptString(s.Model)
	}
	if s.MaxTokens != 0 {
		spec.MaxTokens = operatorapi.NewOptInt64(int64(s.MaxTokens))
	}
	return spec
}

func poolRow(row table.PoolRow) operatorapi.PoolRow {
	pool := row.Value
	spec := operatorapi.PoolSpec{
		Kind:        pool.Kind.String(),
		Service:     pool.Service,
		Concurrency: int64(pool.Concurrency),
		Models:      pool.Models,
	}
	if pool.ChecksFencing {
		spec.ChecksFencing = operatorapi.NewOptBool(true)
	}
	for _, s := range pool.Shares {
		spec.Shares = append(spec.Shares, operatorapi.Share{
			Workspace: s.Workspace,
			Weight:    int64(s.Weight),
		})
	}
	return operatorapi.PoolRow{
		Name:     pool.Name,
		Revision: int64(row.Revision),
		Pool:     spec,
	}
}

// maxDurationMs bounds durations from requests: larger ones could overflow
// time.Duration. It is above every valid timeout and deadline.
const maxDurationMs = int64(24 * time.Hour / time.Millisecond)

// clampedDuration converts milliseconds to a duration. It clamps them to ±maxDurationMs,
// so that a value out of range is still out of range when the tables check it.
func clampedDuration(ms int64) time.Duration {
	return time.Duration(max(min(ms, maxDurationMs), -maxDurationMs)) * time.Millisecond
}

// RouteFromSpec converts a route from its wire format.
func RouteFromSpec(name string, spec *operatorapi.RouteSpec) table.Route {
	route := table.Route{
		Name:     name,
		Deadline: clampedDuration(spec.DeadlineMs),
	}
	for _, s := range spec.Stages {
		route.Stages = append(route.Stages, table.Stage{
			Name:          s.Name,
			Pool:          s.Pool,
			NonIdempotent: s.NotRepeatable.Or(false),
			Cacheable:     s.Reusable.Or(false),
			Timeout:       clampedDuration(s.TimeoutMs.Or(0)),
			Model:         s.Model.Or(""),
			MaxTokens:     int(s.MaxTokens.Or(0)),
		})
	}
	return route
}

// PoolFromSpec converts a pool from its wire format.
func PoolFromSpec(name string, spec *operatorapi.PoolSpec) table.Pool {
	pool := table.Pool{
		Name:          name,
		Service:       spec.Service,
		Concurrency:   int(spec.Concurrency),
		Models:        spec.Models,
		ChecksFencing: spec.ChecksFencing.Or(false),
	}
	for _, s := range spec.Shares {
		pool.Shares = append(pool.Shares, table.Share{
			Workspace: s.Workspace,
			Weight:    int(s.Weight),
		})
	}
	// An unknown kind stays zero, which table validation reports.
	pool.Kind, _ = table.ParsePoolKind(spec.Kind)
	return pool
}

func wireProblems(problems []table.Problem) []operatorapi.Problem {
	var wire []operatorapi.Problem
	for _, p := range problems {
		wire = append(wire, operatorapi.Problem{
			Field:   p.Field,
			Message: p.Message,
		})
	}
	return wire
}
