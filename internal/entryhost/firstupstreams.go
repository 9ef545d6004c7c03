package entryhost

import (
	"go.uber.org/zap"

	"sequoiafork/internal/routing"
	"sequoiafork/internal/upstream"
)

// SetFirstUpstreams sets the upstreams that have been read so far, while the daemon reads its first list. It does
// nothing once SetUpstreams has set a whole one. A long list takes seconds if many daemons start at once and
// share the bandwidth of the store, and a daemon with an upstream of each service can serve requests already.
func (d *Daemon) SetFirstUpstreams(list []upstream.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.listComplete {
		return
	}
	d.logUpstreams(list)
	d.hosts = list
	d.observeListed()
	d.applyUpstreams()
	d.reportProgress()
}

// knowsUpstreams reports whether the daemon knows the whole list of upstreams, or at least a live one of each
// service of the routes. The caller holds mu.
func (d *Daemon) knowsUpstreams(t *routing.Table) bool {
	if d.listComplete {
		return true
	}
	served := make(map[string]bool)
	for _, u := range d.hosts {
		if u.State == upstream.Live {
			served[u.Service] = true
		}
	}
	for _, s := range t.Services() {
		if !served[s.Name] {
			return false
		}
	}
	return len(d.hosts) > 0
}

// logProgress logs that the daemon begins to serve requests. The caller holds mu.
func (d *Daemon) logProgress() {
	d.logger.Info("routes and upstreams are known", zap.Int("upstreams", len(d.hosts)), zap.Bool("whole_list", d.listComplete))
}
