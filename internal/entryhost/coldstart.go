package entryhost

import (
	"context"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/coldstart"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/stageowner"
	"sequoiafork/internal/upstream"
)

const (
	// beatInterval is the time between two beats, which show that the daemon is not suspended.
	beatInterval = 100 * time.Millisecond
	// beatsPerView is the number of beats between two views of the daemons.
	beatsPerView = 5
)

// observeListed records which upstreams are listed. The caller holds mu.
func (d *Daemon) observeListed() {
	listed := make([]string, 0, len(d.hosts))
	for _, h := range d.hosts {
		listed = append(listed, h.Incarnation)
	}
	d.cold.Observe(listed, d.listComplete, time.Now())
}

// markCold marks the upstreams that are cold. The caller holds mu.
func (d *Daemon) markCold(hosts []upstream.Host) {
	t := d.table.Load()
	if t == nil {
		return
	}
	bound := coldstart.Bound{
		Over:  d.cfg.Settings.Upstreams.ColdOver,
		Slack: d.cfg.Settings.Upstreams.ColdSlack,
	}
	for i, h := range hosts {
		service, _ := t.Service(h.Service)
		hosts[i].Cold = d.cold.Mark(coldstart.Upstream{
			Incarnation: h.Incarnation,
			DataCentre:  h.DataCentre,
			Listed:      h.Cold,
		}, service.Cold, bound)
	}
}

// coldLoop keeps up the rights of this daemon at cold upstreams until ctx ends.
func (d *Daemon) coldLoop(ctx context.Context) error {
	ticker := time.NewTicker(beatInterval)
	defer ticker.Stop()
	census := coldstart.NewCensus()
	suspensions := 0
	for beats := 0; ; beats++ {
		d.rights.Beat(time.Now())
		if n := d.rights.Suspensions(); n > suspensions {
			suspensions = n
			d.logger.Warn("daemon was suspended, its rights at cold upstreams have lapsed", zap.Int("suspensions", n))
		}
		if beats%beatsPerView == 0 {
			d.rights.SetView(d.view(census, time.Now()))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// view returns what this daemon knows of the daemons.
func (d *Daemon) view(census *coldstart.Census, now time.Time) coldstart.View {
	self := d.members.Self()
	v := coldstart.View{
		Self: self.Incarnation,
	}
	members := d.members.Members()
	var candidates []membership.Member
	listed := make(map[string]bool)
	for _, p := range d.submitter.addresses() {
		listed[p.Addr] = true
		census.Learn(p.Addr, now)
	}
	for _, m := range members {
		if m.State == membership.Dead {
			listed[m.PeerAddr] = true
			census.Learn(m.PeerAddr, now)
			continue
		}
		census.Alive(m.PeerAddr, now)
		v.Living = append(v.Living, m.Incarnation)
		if stageowner.Eligible(m) {
			candidates = append(candidates, m)
		}
	}
	census.Forget(listed, now)
	v.Known = census.Known(now)
	v.Owner = self.Incarnation
	if owner, ok := stageowner.First(candidates, membership.LargestHost(members)); ok {
		v.Owner = owner.Incarnation
	}
	return v
}
