package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiafork/internal/membership"
)

// writeGauges writes the figures that are read when metrics are asked for.
func (d *Daemon) writeGauges(w io.Writer) {
	d.writeLifeGauges(w)
	d.writeLogGauges(w)
	d.writeHostGauges(w)
}

func (d *Daemon) writeLifeGauges(w io.Writer) {
	metrics.WriteGaugeUint64(w, "sequoiafork_ready", oneIf(d.machine.Ready()))
	metrics.WriteGaugeUint64(w, "sequoiafork_draining", oneIf(d.lifeState() != stateServing))
	metrics.WriteGaugeUint64(w, "sequoiafork_in_flight", uint64(d.service.InFlight()))
}

func (d *Daemon) writeLogGauges(w io.Writer) {
	log := d.reader.Status()
	next := d.machine.NextOffset()
	var behind uint64
	if log.End > next {
		behind = log.End - next
	}
	fold := d.machine.Counters()
	metrics.WriteGaugeUint64(w, "sequoiafork_config_revision", d.machine.Revision())
	metrics.WriteGaugeFloat64(w, "sequoiafork_config_age_seconds", d.age(log.LastRead))
	metrics.WriteGaugeUint64(w, "sequoiafork_log_behind_records", behind)
	metrics.WriteCounterUint64(w, "sequoiafork_log_undecodable_total", fold.Undecodable)
	metrics.WriteCounterUint64(w, "sequoiafork_snapshot_mismatches_total", fold.SnapshotMismatches)
	metrics.WriteCounterUint64(w, "sequoiafork_snapshots_damaged_total", fold.SnapshotsDamaged)
}

func (d *Daemon) writeHostGauges(w io.Writer) {
	metrics.WriteGaugeFloat64(w, "sequoiafork_host_list_age_seconds", d.age(d.hosts.Status().At))
	daemons := map[membership.State]uint64{}
	var behind uint64
	for _, m := range d.members.Members() {
		daemons[m.State]++
		if m.State == membership.Alive && m.Revision < d.machine.Revision() {
			behind++
		}
	}
	for _, state := range []membership.State{membership.Alive, membership.Leaving, membership.Dead} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("sequoiafork_daemons{state=%q}", state), daemons[state])
	}
	metrics.WriteGaugeUint64(w, "sequoiafork_daemons_behind", behind)
	upstreams := map[string]uint64{}
	for _, u := range d.upstreams.Upstreams() {
		upstreams[fmt.Sprintf("sequoiafork_upstreams{service=%q,state=%q}", u.Service, u.State)]++
	}
	for name, n := range upstreams {
		metrics.WriteGaugeUint64(w, name, n)
	}
}

// age returns the seconds since t, or since the start if t is not set.
func (d *Daemon) age(t time.Time) float64 {
	if t.IsZero() {
		t = d.started
	}
	return time.Since(t).Seconds()
}

func oneIf(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
