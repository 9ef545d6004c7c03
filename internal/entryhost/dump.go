package entryhost

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"time"

	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/topic"
)

// dump is the state of one daemon, encoded as JSON for operators.
type dump struct {
	Incarnation   string                    `json:"incarnation"`
	DataCentre    string                    `json:"data_centre"`
	UptimeMs      int64                     `json:"uptime_ms"`
	Ready         bool                      `json:"ready"`
	Draining      bool                      `json:"draining"`
	ConfigVersion uint64                    `json:"config_version"`
	InFlight      int                       `json:"in_flight"`
	Evacuated     []string                  `json:"evacuated"`
	StageOwner    string                    `json:"stage_owner"`
	TopicReader   string                    `json:"topic_reader"`
	Topics        []topic.Status            `json:"topics"`
	StageJobs     int                       `json:"stage_jobs"`
	StageServices []stagework.ServiceStatus `json:"stage_services"`
	// Workspaces is absent if workspaces have no shares.
	Workspaces []stagework.WorkspaceStatus `json:"workspaces,omitempty"`
	Membership any                         `json:"membership"`
	Upstreams  any                         `json:"upstreams"`
	Held       []quarantine.Held           `json:"held"`
	Goroutines int                         `json:"goroutines"`
	HeapBytes  uint64                      `json:"heap_bytes"`
}

// WriteDump writes the state of the daemon to w as one line of JSON.
func (d *Daemon) WriteDump(w io.Writer) error {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	state := dump{
		Incarnation:   d.members.Self().Incarnation,
		DataCentre:    d.cfg.Settings.Daemon.DataCentre,
		UptimeMs:      time.Since(d.started).Milliseconds(),
		Ready:         d.Ready(),
		Draining:      d.Draining(),
		InFlight:      d.InFlight(),
		Evacuated:     d.Evacuated(),
		StageOwner:    d.submitter.owner().Incarnation,
		TopicReader:   d.readers.Current(),
		Topics:        d.readers.Status(),
		StageJobs:     d.StageJobs(),
		StageServices: d.scheduler.Status(),
		Workspaces:    d.scheduler.LargestWorkspaces(),
		Membership:    d.members.Members(),
		Upstreams:     d.upstreams.Upstreams(),
		Held:          d.quarantine.Holds(),
		Goroutines:    runtime.NumGoroutine(),
		HeapBytes:     memory.HeapAlloc,
	}
	if t := d.table.Load(); t != nil {
		state.ConfigVersion = t.Version()
	}
	body, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode state dump: %w", err)
	}
	_, err = fmt.Fprintf(w, "%s\n", body)
	return err
}
