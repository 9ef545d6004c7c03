package replay

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// Deployment describes the data centres, entry hosts, pools and routes that a trace
// is played against.
type Deployment struct {
	Name        string      `json:"name"`
	DataCentres []string    `json:"data_centres"`
	OneWayMs    float64     `json:"one_way_ms"`
	EntryHosts  int         `json:"entry_hosts"`
	Pools       []Pool      `json:"pools"`
	Routes      []Route     `json:"routes"`
	Workspaces  []Workspace `json:"workspaces"`
}

// Pool describes a pool and the simulated upstreams of its service.
type Pool struct {
	Name        string `json:"name"`
	Kind        string `json:"kind"`
	Upstreams   int    `json:"upstreams"`
	Concurrency int    `json:"concurrency"`
	// MeanMs is the mean service time of a call, without queueing, and PrefillMs
	// the additional time for a prefix that is not cached. RequestSigma and
	// AttemptSigma are the standard deviations of the logarithm of the service
	// time between requests and between attempts of one request.
	MeanMs         float64 `json:"mean_ms"`
	PrefillMs      float64 `json:"prefill_ms"`
	CachedPrefixes int     `json:"cached_prefixes"`
	RequestSigma   float64 `json:"sigma"`
	AttemptSigma   float64 `json:"noise"`
}

// Route describes a route and its share of the traffic.
type Route struct {
	Name       string  `json:"name"`
	DeadlineMs int64   `json:"deadline_ms"`
	Share      float64 `json:"share"`
	// DistinctInputs is the number of different inputs that the route receives.
	// Zero means that every input is different.
	DistinctInputs int     `json:"items"`
	Stages         []Stage `json:"stages"`
}

// Stage describes one stage of a route.
type Stage struct {
	Name          string `json:"name"`
	Pool          string `json:"pool"`
	NonIdempotent bool   `json:"not_repeatable"`
	Cacheable     bool   `json:"reusable"`
	Model         string `json:"model"`
}

// Workspace describes a workspace and its share of the traffic.
type Workspace struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Fault is a fault that is injected during a scenario.
type Fault struct {
	// Kind is slow, dead, failing, leaving or entry_lost.
	Kind    string `json:"kind"`
	AtMs    int64  `json:"at_ms"`
	UntilMs int64  `json:"until_ms"`
	Pool    string `json:"pool"`
	// Count is the number of affected upstreams or entry hosts.
	Count int `json:"count"`
	// Factor multiplies the service time of slow upstreams.
	Factor float64 `json:"factor"`
}

// Scenario is a trace with faults and the outcomes that must be reached.
type Scenario struct {
	Name       string  `json:"name"`
	Deployment string  `json:"deployment"`
	Trace      string  `json:"trace"`
	Faults     []Fault `json:"faults"`
	// LoadLagMs is the age of the load that upstreams report.
	LoadLagMs int64 `json:"load_lag_ms"`
	// Tries is the maximum number of times that a caller sends a request, as long as
	// it is rejected. Zero means once.
	Tries int `json:"tries"`
	// FloodWorkspace is the workspace that floods the others from FloodFromMs to
	// FloodToMs.
	FloodWorkspace string `json:"flood"`
	FloodFromMs    int64  `json:"flood_from_ms"`
	FloodToMs      int64  `json:"flood_to_ms"`
	Expect         Expect `json:"expect"`
}

// Expect holds the outcomes that a scenario must reach, as ratios.
type Expect struct {
	// AttainmentOfBound is the minimum number of requests answered in time, as a
	// fraction of Bound.
	AttainmentOfBound float64 `json:"attainment_of_bound"`
	// CostRatio is the maximum of upstream seconds per request answered in time,
	// divided by the same figure without faults.
	CostRatio float64 `json:"cost_ratio"`
	// FairShare is the minimum fraction of its fair share (see FairShares) that
	// each workspace other than the flooding one must get.
	FairShare float64 `json:"fair_share"`
}

// LoadScenario reads the scenario in the file at path and the deployment that it names.
func LoadScenario(path string) (Scenario, Deployment, error) {
	var s Scenario
	var d Deployment
	if err := loadJSON(path, &s); err != nil {
		return s, d, err
	}
	err := loadJSON(filepath.Join(filepath.Dir(path), "..", "deployments", s.Deployment+".json"), &d)
	return s, d, err
}

// LoadDeployment reads the deployment in the file at path.
func LoadDeployment(path string) (Deployment, error) {
	var d Deployment
	err := loadJSON(path, &d)
	return d, err
}

func loadJSON(path string, v any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	if err := json.Unmarshal(data, v); err != nil {
		return fmt.Errorf("load %s: %w", path, err)
	}
	return nil
}

// Tables returns tables that hold the deployment's routes and pools.
func (d Deployment) Tables() (*table.Tables, error) {
	t := table.New()
	for i, p := range d.Pools {
		pool, err := d.tablePool(p)
		if err != nil {
			return nil, err
		}
		t = t.WithChange(table.SetPool{
			Pool: pool,
		}, uint64(i+1))
	}
	for i, r := range d.Routes {
		t = t.WithChange(table.SetRoute{
			Route: r.tableRoute(),
		}, uint64(len(d.Pools)+i+1))
	}
	return t, nil
}

func (d Deployment) tablePool(p Pool) (table.Pool, error) {
	kind, err := table.ParsePoolKind(p.Kind)
	if err != nil {
		return table.Pool{}, fmt.Errorf("pool %s: %w", p.Name, err)
	}
	pool := table.Pool{
		Name:        p.Name,
		Kind:        kind,
		Service:     p.Name,
		Concurrency: p.Concurrency,
	}
	if kind == table.KindEngine {
		pool.Models = d.models(p.Name)
	}
	return pool, nil
}

// models returns the models of the stages that run on the pool.
func (d Deployment) models(pool string) []string {
	var models []string
	for _, r := range d.Routes {
		for _, s := range r.Stages {
			if s.Pool == pool {
				models = append(models, s.Model)
			}
		}
	}
	return models
}

func (r Route) tableRoute() table.Route {
	route := table.Route{
		Name:     r.Name,
		Deadline: time.Duration(r.DeadlineMs) * time.Millisecond,
	}
	for _, s := range r.Stages {
		route.Stages = append(route.Stages, table.Stage{
			Name:          s.Name,
			Pool:          s.Pool,
			NonIdempotent: s.NonIdempotent,
			Cacheable:     s.Cacheable,
			Model:         s.Model,
		})
	}
	return route
}

// Hosts returns the deployment's host list.
func (d Deployment) Hosts() []upstream.Host {
	var hosts []upstream.Host
	n := 0
	for _, p := range d.Pools {
		for i := range p.Upstreams {
			hosts = append(hosts, upstream.Host{
				Addr:       upstreamAddr(p.Name, i),
				DataCentre: d.DataCentres[n%len(d.DataCentres)],
				Service:    p.Name,
			})
			n++
		}
	}
	return hosts
}

func upstreamAddr(pool string, i int) string {
	return fmt.Sprintf("%s-%d", pool, i)
}
