package main

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sync/errgroup"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/table"
)

// logSettings are the flags of "slopes log".
type logSettings struct {
	rates   []float64
	readers int
	rounds  int
	window  time.Duration
}

// logPoint is the cost per daemon of reading the log at one rate of edits.
type logPoint struct {
	rate     float64 // edits per second
	readers  int
	reads    float64 // per second
	bytesIn  float64 // per second, received by a daemon
	bytesOut float64 // per second, sent by a daemon
	cpu      float64 // fraction of a core, including the work of the log service
	lagMs    float64 // time until the last daemon has applied the last edit
}

// String prints a point as one line of name=value fields.
func (p logPoint) String() string {
	return fmt.Sprintf("edits_per_s=%.2f readers=%d reads_per_s=%.2f bytes_in_per_s=%.0f bytes_out_per_s=%.0f cpu_percent=%.3f lag_ms=%.0f",
		p.rate, p.readers, p.reads, p.bytesIn, p.bytesOut, 100*p.cpu, p.lagMs)
}

func measureLogs(ctx context.Context, s logSettings) error {
	var rates, in, out, cpu []float64
	for range s.rounds {
		for _, r := range s.rates {
			p, err := measureLog(ctx, r, s)
			if err != nil {
				return fmt.Errorf("%g edits a second: %w", r, err)
			}
			fmt.Println(p)
			rates, in, out, cpu = append(rates, r), append(in, p.bytesIn), append(out, p.bytesOut), append(cpu, 100*p.cpu)
		}
	}
	const target = 1
	fmt.Println(fitLine("bytes_in_per_s", rates, in, target))
	fmt.Println(fitLine("bytes_out_per_s", rates, out, target))
	fmt.Println(fitLine("cpu_percent", rates, cpu, target))
	return nil
}

func measureLog(ctx context.Context, perSecond float64, s logSettings) (logPoint, error) {
	log, err := startLogService()
	if err != nil {
		return logPoint{}, err
	}
	defer log.server.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	e := newEditor(log)
	if err := e.edit(); err != nil {
		return logPoint{}, err
	}
	machines, group, err := startReaders(ctx, log.addr, s.readers)
	if err != nil {
		return logPoint{}, err
	}
	time.Sleep(2 * time.Second)
	reads, in, out, cpu := log.reads.Load(), log.in.Load(), log.out.Load(), cpuTime()
	begin := time.Now()
	if err := e.run(perSecond, s.window); err != nil {
		return logPoint{}, err
	}
	took := time.Since(begin).Seconds()
	n := float64(s.readers)
	p := logPoint{
		rate:     perSecond,
		readers:  s.readers,
		reads:    float64(log.reads.Load()-reads) / took / n,
		bytesIn:  float64(log.out.Load()-out) / took / n,
		bytesOut: float64(log.in.Load()-in) / took / n,
		cpu:      (cpuTime() - cpu).Seconds() / took / n,
	}
	begin = time.Now()
	if err := e.edit(); err != nil {
		return p, err
	}
	for _, m := range machines {
		if err := m.Wait(ctx, e.machine.NextOffset()); err != nil {
			return p, err
		}
	}
	p.lagMs = milliseconds(time.Since(begin))
	cancel()
	_ = group.Wait()
	return p, nil
}

func startReaders(ctx context.Context, addr string, n int) ([]*fold.StateMachine, *errgroup.Group, error) {
	group := &errgroup.Group{}
	machines := make([]*fold.StateMachine, n)
	for i := range machines {
		client, err := logservice.New(logservice.Config{
			Addr:    addr,
			Stream:  "slopes",
			Metrics: metrics.NewSet(),
		})
		if err != nil {
			return nil, group, err
		}
		machines[i] = fold.New(fold.Config{})
		reader := confsync.NewSyncer(confsync.SyncerConfig{
			Log:                  client,
			Machine:              machines[i],
			Writer:               fmt.Sprint(i),
			Seed:                 uint64(i),
			SnapshotEveryRecords: 1 << 30,
		})
		group.Go(func() error {
			return reader.Run(ctx)
		})
	}
	return machines, group, nil
}

// editor appends edits of one pool and applies them to its own state machine, from
// which it takes the base revision of the next edit.
type editor struct {
	log     *logService
	machine *fold.StateMachine
	count   int
}

func newEditor(log *logService) *editor {
	return &editor{
		log:     log,
		machine: fold.New(fold.Config{}),
	}
}

// run appends edits at the given rate for the duration d.
func (e *editor) run(perSecond float64, d time.Duration) error {
	if perSecond == 0 {
		time.Sleep(d)
		return nil
	}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for end := time.Now().Add(d); time.Now().Before(end); <-ticker.C {
		if err := e.edit(); err != nil {
			return err
		}
	}
	return nil
}

func (e *editor) edit() error {
	e.count++
	pool := table.Pool{
		Name:        "rerank",
		Kind:        table.KindReranker,
		Service:     "rerank",
		Concurrency: 1 + e.count%100,
	}
	row, _ := e.machine.Tables().Pool(pool.Name)
	data, err := fold.EncodeEdit(table.Edit{
		ID:           fmt.Sprintf("019b1e5a-7c00-7000-8000-%012d", e.count),
		BaseRevision: row.Revision,
		Change: table.SetPool{
			Pool: pool,
		},
	})
	if err != nil {
		return err
	}
	offset := e.log.add(data)
	return e.machine.Apply(offset, time.Now().UnixMilli(), data)
}
