package entryhost

import (
	"slices"

	"go.uber.org/zap"

	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/upstream"
)

// SetTable applies newer routes. It ignores the same or an older version, so that a daemon
// never reverts. raw is the encoded table that peers receive, and source is logged.
func (d *Daemon) SetTable(t *routing.Table, raw []byte, source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.table.Load()
	if old != nil && old.Version() >= t.Version() {
		return
	}
	d.raw = raw
	d.table.Store(t)
	d.origins.SetRetention(retentionOf(t))
	d.origins.SetServices(streamServices(t))
	d.scheduler.SetServices(t.Services())
	d.applyUpstreams()
	d.reportProgress()
	d.logger.Info("routes applied", zap.Uint64("config_version", t.Version()), zap.String("source", source))
}

// SetUpstreams replaces the list of upstreams by another whole list. It is called at intervals with the
// same list, which tells that the upstreams are still listed.
func (d *Daemon) SetUpstreams(list []upstream.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.origins.observeVersions(list)
	if d.listComplete && slices.Equal(list, d.hosts) {
		d.forgetLeaving()
		return
	}
	d.logUpstreams(list)
	d.hosts = list
	d.observeListed()
	d.forgetLeaving()
	d.applyUpstreams()
	d.listComplete = true
	d.reportProgress()
}

// reportProgress announces to the peers which version of the routes is applied here, once
// upstreams are known too, so that this daemon can serve requests. The caller holds mu.
func (d *Daemon) reportProgress() {
	t := d.table.Load()
	if t == nil || !d.evacuationsKnown || !d.knowsUpstreams(t) {
		return
	}
	d.configuredOnce.Do(func() {
		close(d.configured)
		d.logProgress()
	})
	if d.listComplete {
		d.fullyConfiguredOnce.Do(func() { close(d.fullyConfigured) })
	}
	d.members.SetProgress(t.Version(), t.Version())
}

// logUpstreams logs the difference between the current and a new list. The caller holds mu.
func (d *Daemon) logUpstreams(list []upstream.Host) {
	removed := make(map[upstream.Host]bool, len(d.hosts))
	for _, u := range d.hosts {
		removed[u] = true
	}
	for _, u := range list {
		if removed[u] {
			delete(removed, u)
			continue
		}
		d.logger.Info("upstream listed", zap.String("upstream", u.Incarnation), zap.String("addr", u.Addr),
			zap.String("service", u.Service), zap.String("data_centre", u.DataCentre), zap.String("version", u.Version), zap.String("state", u.State.String()),
			zap.Stringer("cold", u.Cold))
	}
	for u := range removed {
		d.logger.Info("upstream removed or changed", zap.String("upstream", u.Incarnation), zap.String("state", u.State.String()))
	}
}

// applyUpstreams passes the upstreams to the upstream set and, those that are live, to the
// stage scheduler. Those of evacuated data centres, and those that have said so, count as leaving. The caller holds mu.
func (d *Daemon) applyUpstreams() {
	hosts := slices.Clone(d.hosts)
	for i, u := range hosts {
		_, leaving := d.leaving[u.Incarnation]
		_, evacuated := d.evacuated[u.DataCentre]
		if leaving || evacuated || !d.evacuationsKnown {
			hosts[i].State = upstream.Leaving
		}
	}
	d.markCold(hosts)
	d.upstreams.Replace(hosts)
	var workers []stagework.Upstream
	for _, u := range hosts {
		if u.State != upstream.Live {
			continue
		}
		workers = append(workers, stagework.Upstream{
			Incarnation: u.Incarnation,
			Addr:        u.Addr,
			DataCentre:  u.DataCentre,
			Service:     u.Service,
			Cold:        u.Cold,
		})
	}
	d.scheduler.SetUpstreams(workers)
}
