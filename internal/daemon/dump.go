package daemon

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/idempotency"
)

// dump is the state of one process, encoded as JSON for operators.
type dump struct {
	Incarnation string             `json:"incarnation"`
	DataCentre  string             `json:"data_centre"`
	State       string             `json:"state"`
	UptimeMs    int64              `json:"uptime_ms"`
	Ready       bool               `json:"ready"`
	InFlight    int                `json:"in_flight"`
	Revision    uint64             `json:"revision"`
	NextOffset  uint64             `json:"next_offset"`
	Digest      string             `json:"digest"`
	Keys        idempotency.Counts `json:"keys"`
	Log         logDump            `json:"log"`
	Fold        fold.Counters      `json:"fold"`
	HostList    any                `json:"host_list"`
	Membership  any                `json:"membership"`
	Upstreams   any                `json:"upstreams"`
	Goroutines  int                `json:"goroutines"`
	HeapBytes   uint64             `json:"heap_bytes"`
}

// logDump is the state of the log reader: the offsets of the log, when the log last
// responded, when records were last fetched from a peer, how many records from peers wait
// for earlier ones, and the error of the latest read of the log.
type logDump struct {
	First    uint64    `json:"first_offset"`
	End      uint64    `json:"end_offset"`
	LastRead time.Time `json:"last_read"`
	LastPeer time.Time `json:"last_peer"`
	Pending  int       `json:"pending"`
	Problem  string    `json:"problem,omitempty"`
}

func dumpLog(s confsync.Status) logDump {
	l := logDump{
		First:    s.FirstOffset,
		End:      s.EndOffset,
		LastRead: s.LastRead,
		LastPeer: s.LastPeerSync,
		Pending:  s.Pending,
	}
	if s.LogError != nil {
		l.Problem = s.LogError.Error()
	}
	return l
}

// WriteDump writes the state of d to w as JSON.
func (d *Daemon) WriteDump(w io.Writer) error {
	body, err := dumper{daemon: d}.Dump()
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%s\n", body)
	return err
}

// dumper implements the state dump of the operator API.
type dumper struct {
	daemon *Daemon
}

// Dump implements operatorhttp.Dumper.
func (p dumper) Dump() ([]byte, error) {
	d := p.daemon
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	next, digest := d.machine.Digest()
	body, err := json.Marshal(dump{
		Incarnation: d.incarnation,
		DataCentre:  d.settings.Daemon.DataCentre,
		State:       d.lifecycleState().String(),
		UptimeMs:    time.Since(d.started).Milliseconds(),
		Ready:       d.machine.Ready(),
		InFlight:    d.service.InFlight(),
		Revision:    d.machine.Revision(),
		NextOffset:  next,
		Digest:      fmt.Sprintf("%x", digest),
		Keys:        d.registry.Counts(),
		Log:         dumpLog(d.syncer.Status()),
		Fold:        d.machine.Counters(),
		HostList:    d.hostList.Status(),
		Membership:  d.members.Dump(),
		Upstreams:   hosts{daemon: d}.Upstreams(),
		Goroutines:  runtime.NumGoroutine(),
		HeapBytes:   mem.HeapAlloc,
	})
	if err != nil {
		return nil, fmt.Errorf("encoding the state dump: %w", err)
	}
	return body, nil
}
