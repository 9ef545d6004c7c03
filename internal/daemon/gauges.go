package daemon

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiafork/internal/membership"
)

// writeGauges writes the metrics that are computed at the time of a scrape.
func (d *Daemon) writeGauges(w io.Writer) {
	d.writeLifecycleGauges(w)
	d.writeLogGauges(w)
	d.writeHostGauges(w)
}

func (d *Daemon) writeLifecycleGauges(w io.Writer) {
	metrics.WriteGaugeUint64(w, "sequoiafork_ready", boolGauge(d.machine.Ready()))
	metrics.WriteGaugeUint64(w, "sequoiafork_draining", boolGauge(d.lifecycleState() != stateServing))
	metrics.WriteGaugeUint64(w, "sequoiafork_in_flight", uint64(d.service.InFlight()))
}

func (d *Daemon) writeLogGauges(w io.Writer) {
	log := d.syncer.Status()
	next := d.machine.NextOffset()
	var lag uint64
	if log.EndOffset > next {
		lag = log.EndOffset - next
	}
	counters := d.machine.Counters()
	metrics.WriteGaugeUint64(w, "sequoiafork_config_revision", d.machine.Revision())
	metrics.WriteGaugeFloat64(w, "sequoiafork_config_age_seconds", d.secondsSince(log.LastRead))
	metrics.WriteGaugeUint64(w, "sequoiafork_log_behind_records", lag)
	metrics.WriteCounterUint64(w, "sequoiafork_log_undecodable_total", counters.Undecodable)
	metrics.WriteCounterUint64(w, "sequoiafork_snapshot_mismatches_total", counters.SnapshotMismatches)
	metrics.WriteCounterUint64(w, "sequoiafork_snapshots_damaged_total", counters.SnapshotsDamaged)
}

func (d *Daemon) writeHostGauges(w io.Writer) {
	metrics.WriteGaugeFloat64(w, "sequoiafork_host_list_age_seconds", d.secondsSince(d.hostList.Status().At))
	daemons := map[membership.State]uint64{}
	var lagging uint64
	for _, m := range d.members.Members() {
		daemons[m.State]++
		if m.State == membership.Alive && m.Revision < d.machine.Revision() {
			lagging++
		}
	}
	for _, state := range []membership.State{membership.Alive, membership.Leaving, membership.Dead} {
		metrics.WriteGaugeUint64(w, fmt.Sprintf("sequoiafork_daemons{state=%q}", state), daemons[state])
	}
	metrics.WriteGaugeUint64(w, "sequoiafork_daemons_behind", lagging)
	upstreams := map[string]uint64{}
	for _, u := range d.upstreams.Upstreams() {
		upstreams[fmt.Sprintf("sequoiafork_upstreams{service=%q,state=%q}", u.Service, u.State)]++
	}
	for name, n := range upstreams {
		metrics.WriteGaugeUint64(w, name, n)
	}
}

// secondsSince returns the seconds since t, or since the start of the daemon if t is
// zero.
func (d *Daemon) secondsSince(t time.Time) float64 {
	if t.IsZero() {
		t = d.started
	}
	return time.Since(t).Seconds()
}

func boolGauge(b bool) uint64 {
	if b {
		return 1
	}
	return 0
}
