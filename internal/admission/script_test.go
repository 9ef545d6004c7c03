package admission

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

var disciplines = map[string]Discipline{
	"fair":       Fair{},
	"first_come": FIFO{},
	"unlimited":  Unlimited{},
}

// source sends requests of one workspace at fixed intervals (open loop).
type source struct {
	workspace    string
	weight       int
	interval     time.Duration
	holdTime     time.Duration
	deadline     time.Duration
	wantFraction float64 // minimum fraction of requests to serve in time
	sent         int
	served       atomic.Int64
}

// TestScripts runs the load scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			require.Equal(t, "load", d.Cmd)
			var out string
			synctest.Test(t, func(t *testing.T) { out = load(t, d) })
			return out
		})
	})
}

// load runs the sources of the input concurrently and lists those for which a smaller
// fraction of requests than wanted was served in time.
func load(t *testing.T, d *datadriven.TestData) string {
	slots, seconds, discipline := 0, 0, ""
	d.ScanArgs(t, "slots", &slots)
	d.ScanArgs(t, "seconds", &seconds)
	d.ScanArgs(t, "discipline", &discipline)
	c := New(Config{
		Discipline: disciplines[discipline],
		MaxQueue:   64,
	})
	sources := parseSources(t, d.Input)
	var shares []table.Share
	for _, s := range sources {
		shares = append(shares, table.Share{
			Workspace: s.workspace,
			Weight:    s.weight,
		})
	}
	for _, s := range sources {
		go s.run(c, pool(shares), slots, time.Duration(seconds)*time.Second)
	}
	time.Sleep(time.Duration(seconds)*time.Second + time.Minute)
	synctest.Wait()
	var b strings.Builder
	for _, s := range sources {
		got := float64(s.served.Load()) / float64(s.sent)
		if got < s.wantFraction {
			t.Logf("%s: served %.2f, want %.2f", s.workspace, got, s.wantFraction)
			fmt.Fprintf(&b, "%s falls short\n", s.workspace)
		}
	}
	return b.String()
}

func (s *source) run(c *Controller, p *table.Pool, slots int, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(s.interval) {
		s.sent++
		go s.request(c, p, slots)
	}
}

func (s *source) request(c *Controller, p *table.Pool, slots int) {
	deadline := time.Now().Add(s.deadline)
	slot, err := c.Acquire(context.Background(), Request{
		Pool:        p,
		Slots:       slots,
		Workspace:   s.workspace,
		Deadline:    deadline,
		ServiceTime: s.holdTime,
	})
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return
	}
	time.Sleep(s.holdTime)
	if !time.Now().After(deadline) {
		s.served.Add(1)
	}
	slot.Release()
}

func parseSources(t *testing.T, input string) []*source {
	var list []*source
	for line := range strings.Lines(input) {
		s := &source{}
		var interval, holdTime, deadline int
		_, err := fmt.Sscan(line, &s.workspace, &s.weight, &interval, &holdTime, &deadline, &s.wantFraction)
		require.NoError(t, err)
		s.interval = time.Duration(interval) * time.Millisecond
		s.holdTime = time.Duration(holdTime) * time.Millisecond
		s.deadline = time.Duration(deadline) * time.Millisecond
		list = append(list, s)
	}
	return list
}
