package main

import (
	"context"
	"fmt"
	"runtime"
	"syscall"
	"time"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/wire/peerpb"
)

// point is the cost per daemon of one cluster size, and the propagation times in it.
type point struct {
	daemons    int
	links      float64
	bytesIn    float64 // per second, idle
	bytesOut   float64 // per second, idle
	joinBytes  float64 // sent from the start until all daemons know all members
	cpu        float64 // fraction of a core, idle
	heapKiB    float64
	stackKiB   float64
	joinMs     float64
	leavingMs  float64
	upstreamMs float64
	recordMs   float64
	appliedMs  float64
}

// String prints a point as one line of name=value fields.
func (p point) String() string {
	return fmt.Sprintf("daemons=%d links=%.1f bytes_in_per_s=%.0f bytes_out_per_s=%.0f cpu_percent=%.3f heap_kib=%.0f stack_kib=%.0f join_bytes=%.0f join_ms=%.0f leaving_ms=%.0f upstream_ms=%.0f record_ms=%.0f in_force_ms=%.0f",
		p.daemons, p.links, p.bytesIn, p.bytesOut, 100*p.cpu, p.heapKiB, p.stackKiB, p.joinBytes, p.joinMs, p.leavingMs, p.upstreamMs, p.recordMs, p.appliedMs)
}

func measure(ctx context.Context, n int, s settings) (point, error) {
	heap, stack := memory()
	c, err := startCluster(ctx, n)
	defer func() { _ = c.stop() }()
	if err != nil {
		return point{}, err
	}
	p := point{
		daemons: n,
	}
	took, err := c.awaitMembership()
	if err != nil {
		return p, err
	}
	p.joinMs = milliseconds(took)
	_, out := c.traffic()
	p.joinBytes = float64(out) / float64(n)
	for _, d := range c.daemons {
		d.Deliver(newRecord(0))
	}
	time.Sleep(s.settle)
	p.measureIdle(c, s.window)
	heapNow, stackNow := memory()
	p.heapKiB = (heapNow - heap) / 1024 / float64(n)
	p.stackKiB = (stackNow - stack) / 1024 / float64(n)
	return p, p.measurePropagation(c)
}

// measureIdle measures the cost of an idle cluster.
func (p *point) measureIdle(c *cluster, window time.Duration) {
	in, out := c.traffic()
	cpu := cpuTime()
	begin := time.Now()
	time.Sleep(window)
	took := time.Since(begin).Seconds()
	in2, out2 := c.traffic()
	n := float64(p.daemons)
	p.bytesIn = float64(in2-in) / took / n
	p.bytesOut = float64(out2-out) / took / n
	p.cpu = (cpuTime() - cpu).Seconds() / took / n
	p.links = float64(c.links()) / n
}

// measurePropagation measures how long a member's state, an upstream's state and a
// record take to reach every daemon, and how long it takes until every daemon knows
// that all have applied the record. Only one daemon reads the record from the log, so
// all others get it from peers.
func (p *point) measurePropagation(c *cluster) error {
	first := c.daemons[0]
	first.table.SetLeaving()
	took, err := c.await("leaving member", func(d *daemon) bool {
		_, leaving := d.table.Count()
		return leaving == 1
	})
	if err != nil {
		return err
	}
	p.leavingMs = milliseconds(took)

	const addr = "127.0.0.1:1"
	first.table.ReportUpstream(addr, membership.UpstreamLeaving)
	took, err = c.await("leaving upstream", func(d *daemon) bool {
		return d.table.Upstream(addr) == membership.UpstreamLeaving
	})
	if err != nil {
		return err
	}
	p.upstreamMs = milliseconds(took)

	begin := time.Now()
	first.Deliver(newRecord(1))
	if _, err = c.await("record", func(d *daemon) bool { return d.NextOffset() == 2 }); err != nil {
		return err
	}
	p.recordMs = milliseconds(time.Since(begin))
	_, err = c.await("applied revision", func(d *daemon) bool {
		have, _ := d.table.CountApplied(2)
		return have == len(c.daemons)
	})
	p.appliedMs = milliseconds(time.Since(begin))
	return err
}

// recordBytes is the approximate size of a record that changes one row.
const recordBytes = 500

func newRecord(offset uint64) []*peerpb.LogRecord {
	return []*peerpb.LogRecord{{
		Offset: offset,
		Data:   make([]byte, recordBytes),
	}}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memory returns the bytes in use by heap objects and by stacks after a garbage collection.
func memory() (heap, stack float64) {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc), float64(m.StackInuse)
}
