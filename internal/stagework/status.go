package stagework

import (
	"cmp"
	"maps"
	"slices"
)

// ServiceStatus is the state of a stage service at this scheduler.
type ServiceStatus struct {
	Name         string           `json:"name"`
	QueuedPieces int              `json:"queued_pieces"`
	ResultTimeMs int64            `json:"result_time_ms"`
	Upstreams    []UpstreamStatus `json:"upstreams"`
}

// UpstreamStatus is the state of an upstream of a stage service at this scheduler. FreeBytes is the
// estimate of its free memory for results, and HeldBytes what this scheduler's results take.
type UpstreamStatus struct {
	Incarnation string  `json:"incarnation"`
	Calls       int     `json:"calls"`
	HeldBytes   int64   `json:"held_bytes"`
	FreeBytes   int64   `json:"free_bytes"`
	Slowdown    float64 `json:"slowdown"`
	Failures    int     `json:"failures"`
	Draining    bool    `json:"draining"`
}

// Status returns the state of all services, ordered by name, and of their upstreams, ordered by
// incarnation.
func (s *Scheduler) Status() []ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []ServiceStatus
	for _, name := range slices.Sorted(maps.Keys(s.services)) {
		list = append(list, s.services[name].status())
	}
	return list
}

func (svc *service) status() ServiceStatus {
	st := ServiceStatus{
		Name:         svc.name,
		QueuedPieces: len(svc.queue),
		ResultTimeMs: svc.resultTime().Milliseconds(),
	}
	for _, u := range svc.upstreams {
		st.Upstreams = append(st.Upstreams, UpstreamStatus{
			Incarnation: u.Incarnation,
			Calls:       u.calls,
			HeldBytes:   u.held,
			FreeBytes:   u.freeMemory(svc.spec.ResultMemoryBytes),
			Slowdown:    u.slowdown,
			Failures:    u.failures,
			Draining:    u.draining,
		})
	}
	slices.SortFunc(st.Upstreams, func(a, b UpstreamStatus) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return st
}
