package entryhost

import (
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/upstream"
)

// doubtTime is how long the operator may take to write an evacuation again that the store has lost.
const doubtTime = 5 * time.Second

// maxDoubtDelay is how long after its end a doubt may be noticed. Later, the process was suspended, and has not read
// yet what the operator wrote meanwhile.
const maxDoubtDelay = 500 * time.Millisecond

// SetEvacuated begins or ends the evacuation of a data centre: its upstreams get no new work and finish
// what they have.
func (d *Daemon) SetEvacuated(dataCentre string, evacuated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, before := d.evacuated[dataCentre]
	if evacuated {
		d.evacuated[dataCentre] = time.Time{}
	} else {
		delete(d.evacuated, dataCentre)
	}
	if before == evacuated {
		return
	}
	d.logger.Info("evacuation of a data centre changed", zap.String("data_centre", dataCentre), zap.Bool("evacuated", evacuated))
	if d.listComplete && !slices.ContainsFunc(d.hosts, func(h upstream.Host) bool { return h.DataCentre == dataCentre }) {
		d.logger.Warn("evacuation names a data centre without upstreams", zap.String("data_centre", dataCentre))
	}
	if !evacuated {
		d.cold.EndEvacuation(dataCentre, time.Now())
	}
	d.applyUpstreams()
}

// SetEvacuationsKnown records that all evacuations that there are now have been set. Only then the upstreams get work, if
// Config.AwaitEvacuations is set: a daemon that starts may read the upstreams first.
func (d *Daemon) SetEvacuationsKnown() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.evacuationsKnown {
		return
	}
	d.evacuationsKnown = true
	d.applyUpstreams()
	d.reportProgress()
}

// DoubtEvacuation ends the evacuation of a data centre after doubtTime unless it is set again: the store has
// come back from a copy that lacks it, and what the operator wrote since is written again.
func (d *Daemon) DoubtEvacuation(dataCentre string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.evacuated[dataCentre]; !ok {
		return
	}
	until := time.Now().Add(doubtTime)
	d.evacuated[dataCentre] = until
	time.AfterFunc(doubtTime, func() { d.endDoubted(dataCentre, until) })
}

func (d *Daemon) endDoubted(dataCentre string, until time.Time) {
	d.mu.Lock()
	doubted := d.evacuated[dataCentre].Equal(until)
	d.mu.Unlock()
	switch {
	case doubted && time.Since(until) > maxDoubtDelay:
		d.DoubtEvacuation(dataCentre)
	case doubted:
		d.SetEvacuated(dataCentre, false)
	}
}

// Evacuated returns the data centres that are evacuated, in order.
func (d *Daemon) Evacuated() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.evacuated))
}
