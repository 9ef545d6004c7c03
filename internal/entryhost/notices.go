package entryhost

import (
	"maps"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/ratelimit"
	"sequoiafork/internal/upstream"
)

// daemonNames returns the incarnations of the living daemons.
func (d *Daemon) daemonNames() []string {
	var names []string
	for _, m := range d.members.Members() {
		if m.State == membership.Alive {
			names = append(names, m.Incarnation)
		}
	}
	return names
}

// ObserveStageUpstream records what a stage upstream said of itself in the response to a call that
// began at a time.
func (d *Daemon) ObserveStageUpstream(incarnation string, began time.Time, n upstream.Notice) {
	now := time.Now()
	d.scheduler.ObserveLimit(incarnation, n.Limit(began, now))
	if n.Pause > 0 {
		d.scheduler.ObservePause(incarnation, now.Add(n.Pause))
	}
	if n.Leaving {
		d.markLeaving("", incarnation, sourceResponse)
	}
}

// Sources of what is known about an upstream, for the log.
const (
	sourceResponse = "response"
	sourcePeer     = "peer"
)

// leavingTTL is how long the incarnation of an upstream that has said that it leaves is remembered if it
// is not listed.
const leavingTTL = 10 * time.Minute

// observeLeaving handles a response that says that an upstream leaves.
func (d *Daemon) observeLeaving(h upstream.Host) {
	d.markLeaving(h.Service, h.Incarnation, sourceResponse)
}

// markLeaving keeps all new work from an upstream that has said that it leaves, whatever the list of
// upstreams says from now on. The first to know it tells the other daemons.
func (d *Daemon) markLeaving(service, incarnation, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, known := d.leaving[incarnation]; known {
		return
	}
	d.leaving[incarnation] = time.Now()
	d.logger.Info("upstream says that it leaves", zap.String("upstream", incarnation), zap.String("source", source))
	d.applyUpstreams()
	if source == sourceResponse {
		d.members.ReportNotice(membership.UpstreamNotice{
			Service:     service,
			Incarnation: incarnation,
			Leaving:     true,
			ObservedAt:  time.Now(),
		})
	}
}

// forgetLeaving drops the upstreams that said that they leave long ago and are not listed any more. The
// caller holds mu.
func (d *Daemon) forgetLeaving() {
	for _, h := range d.hosts {
		if _, known := d.leaving[h.Incarnation]; known {
			d.leaving[h.Incarnation] = time.Now()
		}
	}
	maps.DeleteFunc(d.leaving, func(_ string, at time.Time) bool { return time.Since(at) > leavingTTL })
}

// reportLimit tells the other daemons the limit of an upstream that this one has observed.
func (d *Daemon) reportLimit(h upstream.Host, l ratelimit.Limit) {
	d.members.ReportNotice(membership.UpstreamNotice{
		Service:     h.Service,
		Incarnation: h.Incarnation,
		Limited:     l.Limited,
		PerSecond:   l.PerSecond,
		ObservedAt:  l.At,
	})
}

// observePeerNotice records what an upstream said of itself to another daemon.
func (d *Daemon) observePeerNotice(n membership.UpstreamNotice) {
	if n.Leaving {
		d.markLeaving(n.Service, n.Incarnation, sourcePeer)
		return
	}
	d.upstreams.ObserveLimit(n.Service, n.Incarnation, ratelimit.Limit{
		Limited:   n.Limited,
		PerSecond: n.PerSecond,
		At:        n.ObservedAt,
	})
}
