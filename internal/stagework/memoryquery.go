package stagework

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sequoiafork/internal/ident"
)

const (
	// The free memory of an upstream must be known before the upstream gets pieces. memoryQueryFactor times
	// the upstreams that the queued pieces need, and memoryQueryReserve more in each data centre, are
	// queried or known at a time, so that a scheduler with new work learns of few upstreams of many, and
	// of as many as it needs after a few rounds.
	memoryQueryFactor  = 2
	memoryQueryReserve = 2
)

// anyDataCentre is the key of the pieces and upstreams of all data centres together.
const anyDataCentre = ""

// refreshFreeMemory queries upstreams whose free memory is unknown, as many as the queued pieces need,
// and those which were found to hold results of another scheduler at least memoryQueryInterval ago.
func (s *Scheduler) refreshFreeMemory(svc *service, now time.Time) {
	var unknown []*upstream
	for _, u := range svc.upstreams {
		u.expireEstimates(now)
		u.pacer.Expire(0, now)
		switch {
		case u.draining || u.restrained(now):
		case !u.memoryKnown:
			unknown = append(unknown, u)
		case u.foreignBytes > 0 && now.Sub(u.foreignAt) >= memoryQueryInterval:
			s.queryFreeMemory(svc, u)
		}
	}
	if len(unknown) > 0 {
		s.queryUnknown(svc, unknown, now)
	}
}

// queryUnknown queries upstreams whose free memory is unknown, until the queued pieces have enough in the data
// centres where they preferably run, and in all together.
func (s *Scheduler) queryUnknown(svc *service, unknown []*upstream, now time.Time) {
	d := svc.demand()
	ready := svc.readyUpstreams(d, now)
	for _, u := range unknown {
		if u.awaitsFreeMemory(now) {
			ready.add(u)
		}
	}
	if d.coveredBy(ready) {
		return
	}
	slices.SortFunc(unknown, func(a, b *upstream) int { return cmp.Compare(a.queryOrder, b.queryOrder) })
	for _, dataCentre := range slices.Sorted(maps.Keys(d.upstreams)) {
		for _, u := range unknown {
			if ready[dataCentre] >= d.target(dataCentre) {
				break
			}
			if !u.querying && (dataCentre == anyDataCentre || u.DataCentre == dataCentre) {
				s.queryFreeMemory(svc, u)
				ready.add(u)
			}
		}
	}
}

// upstreamCount is a number of upstreams by data centre, and of all as that of anyDataCentre.
type upstreamCount map[string]int

func (c upstreamCount) add(u *upstream) {
	c[anyDataCentre]++
	if u.DataCentre != anyDataCentre {
		c[u.DataCentre]++
	}
}

// demand is what the queued pieces of a service need: upstreams in the data centres where the pieces
// preferably run, and on average so many bytes for results on each.
type demand struct {
	upstreams upstreamCount
	bytesEach int64
}

func (svc *service) demand() demand {
	work := make(map[string]workload)
	for _, p := range svc.queue {
		work[anyDataCentre] = work[anyDataCentre].plus(p)
		if dataCentre := p.preferredDataCentre(); dataCentre != anyDataCentre {
			work[dataCentre] = work[dataCentre].plus(p)
		}
	}
	d := demand{
		upstreams: make(upstreamCount, len(work)),
	}
	for dataCentre, w := range work {
		d.upstreams[dataCentre] = svc.upstreamsFor(w)
	}
	d.bytesEach = work[anyDataCentre].bytes / int64(max(d.upstreams[anyDataCentre], 1))
	return d
}

// target returns how many upstreams in a data centre are to be known or queried.
func (d demand) target(dataCentre string) int {
	return memoryQueryFactor*d.upstreams[dataCentre] + memoryQueryReserve
}

// coveredBy reports whether the targets of all data centres are reached.
func (d demand) coveredBy(c upstreamCount) bool {
	for dataCentre := range d.upstreams {
		if c[dataCentre] < d.target(dataCentre) {
			return false
		}
	}
	return true
}

func (w workload) plus(p *piece) workload {
	w.pieces++
	w.bytes += p.stage.ResultBytes
	return w
}

// readyUpstreams counts the upstreams that can take a call now and have the memory that the pieces need.
func (svc *service) readyUpstreams(d demand, now time.Time) upstreamCount {
	ready := make(upstreamCount)
	for _, u := range svc.availableFast(now) {
		if u.memoryKnown && u.freeMemory(svc.spec.ResultMemoryBytes) >= d.bytesEach {
			ready.add(u)
		}
	}
	return ready
}

// upstreamsFor returns how many upstreams without work and results take a workload at once.
func (svc *service) upstreamsFor(w workload) int {
	byPieces := divideUp(int64(w.pieces), int64(svc.spec.MaxSize))
	byMemory := divideUp(w.bytes, svc.spec.ResultMemoryBytes)
	return int(max(byPieces, byMemory))
}

// divideUp returns the quotient of two numbers, rounded up. Any divisor below one counts as one.
func divideUp(a, b int64) int64 {
	b = max(b, 1)
	return (a + b - 1) / b
}

// awaitsFreeMemory reports whether a first memory query was sent to the upstream less than
// firstMemoryQueryWait ago and is unanswered.
func (u *upstream) awaitsFreeMemory(now time.Time) bool {
	return u.querying && !u.memoryKnown && !u.draining && !u.restrained(now) && now.Sub(u.queriedAt) < firstMemoryQueryWait
}

// awaitsFreeMemory reports whether queued pieces wait for the first response of an upstream to a memory query,
// since too few upstreams where they preferably run can take them.
func (svc *service) awaitsFreeMemory(now time.Time) bool {
	awaited := make(upstreamCount)
	for _, u := range svc.upstreams {
		if u.awaitsFreeMemory(now) {
			awaited.add(u)
		}
	}
	if len(awaited) == 0 {
		return false
	}
	d := svc.demand()
	ready := svc.readyUpstreams(d, now)
	for dataCentre, needed := range d.upstreams {
		if awaited[dataCentre] > 0 && ready[dataCentre] < needed {
			return true
		}
	}
	return false
}

// queryOrder returns the place of an upstream in the order in which a scheduler queries upstreams. It
// differs between schedulers, so that those of several daemons begin with different upstreams.
func (s *Scheduler) queryOrder(u Upstream) uint64 {
	return ident.Hash(s.cfg.Self + " " + u.Incarnation)
}
