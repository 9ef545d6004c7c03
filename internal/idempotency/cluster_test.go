package idempotency_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/logservice"
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/recordpb"
)

// appendFault is a fault that the fake log injects into appends.
type appendFault int

const (
	appendSucceeds appendFault = iota
	appendRejected
	appendResponseLost
	appendLost
	appendDelayed
	appendFaultCount
)

// fakeLog is an in-memory log service.
type fakeLog struct {
	mu      sync.Mutex
	fault   appendFault
	records [][]byte
	changed chan struct{}
	// claimed holds the claims whose append was not rejected.
	claimed map[claimID]bool
}

// claimID is one process's claim of one key.
type claimID struct {
	owner string
	key   idempotency.KeyHash
}

func (l *fakeLog) recordClaims(data []byte) {
	var r recordpb.Record
	if err := proto.Unmarshal(data, &r); err != nil {
		panic(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range r.GetClaims().GetClaims() {
		l.claimed[claimID{
			owner: c.GetOwner(),
			key:   idempotency.KeyHash(c.GetKey()),
		}] = true
	}
}

func (l *fakeLog) mayHaveClaim(owner, key string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.claimed[claimID{
		owner: owner,
		key:   idempotency.HashKey("w", key),
	}]
}

// notify wakes the goroutines that wait for the log to change.
func (l *fakeLog) notify() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.changed)
	l.changed = make(chan struct{})
}

func (l *fakeLog) changedChan() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

func (l *fakeLog) setFault(f appendFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

func (l *fakeLog) append(data []byte) uint64 {
	defer l.notify()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	return uint64(len(l.records))
}

// WaitRateLimit implements idempotency.Log.
func (l *fakeLog) WaitRateLimit(context.Context) error { return nil }

// AppendWithoutWait implements idempotency.Log.
func (l *fakeLog) AppendWithoutWait(ctx context.Context, data []byte) (uint64, error) {
	l.mu.Lock()
	fault := l.fault
	l.mu.Unlock()
	time.Sleep(time.Millisecond)
	unknown := &logservice.UnknownOutcomeError{
		Err: errors.New("scripted"),
	}
	if fault == appendRejected {
		return 0, &logservice.RejectedError{
			Code: "unavailable",
		}
	}
	l.recordClaims(data)
	switch fault {
	case appendResponseLost:
		l.append(data)
		return 0, unknown
	case appendLost:
		return 0, unknown
	case appendDelayed:
		time.AfterFunc(3*time.Second, func() { l.append(data) })
		<-ctx.Done()
		return 0, unknown
	}
	return l.append(data), nil
}

func (l *fakeLog) nextOffset() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.records)) + 1
}

func (l *fakeLog) recordsFrom(next uint64) [][]byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[next-1:]
}

// runKind is how a request ends when the owner runs it.
type runKind int

const (
	runAnswered runKind = iota
	runNotRun
	runFailed
	runAnsweredLate
	runKindCount
)

// cluster is a set of daemons that share one log. It records all runs and outcomes.
type cluster struct {
	log     *fakeLog
	daemons []*daemon
	ended   chan struct{} // closed by stop

	mu       sync.Mutex
	runs     map[string][]string // request ids that were run, by key
	outcomes map[string][]outcome.Outcome
	// falseNotRun lists keys whose caller received not_run although the key may have been
	// claimed or had run.
	falseNotRun []string
}

type daemon struct {
	cluster  *cluster
	self     string
	machine  *fold.StateMachine
	registry *idempotency.Registry
	cancel   context.CancelFunc

	mu        sync.Mutex
	suspended bool
	dead      bool
}

func newCluster(n int) *cluster {
	c := &cluster{
		log: &fakeLog{
			changed: make(chan struct{}),
			claimed: make(map[claimID]bool),
		},
		ended:    make(chan struct{}),
		runs:     make(map[string][]string),
		outcomes: make(map[string][]outcome.Outcome),
	}
	for range n {
		c.daemons = append(c.daemons, c.start())
	}
	return c
}

func (c *cluster) start() *daemon {
	ctx, cancel := context.WithCancel(context.Background())
	d := &daemon{
		cluster: c,
		self:    ident.NewIncarnation("10.0.0.1:1"),
		machine: fold.New(fold.Config{}),
		cancel:  cancel,
	}
	claimer := idempotency.NewLogClaimer(d.self, c.log, d.machine, d.waitCurrent)
	d.registry = idempotency.New(idempotency.Config{
		Self:   d.self,
		Claims: claimer,
	})
	go func() { _ = claimer.Run(ctx) }()
	go d.tail(ctx)
	return d
}

// waitCurrent waits until the daemon has applied all records of the log. A suspended
// daemon never does.
func (d *daemon) waitCurrent(ctx context.Context) error {
	if !d.get(&d.suspended) {
		return d.machine.Wait(ctx, d.cluster.log.nextOffset())
	}
	<-ctx.Done()
	return ctx.Err()
}

// tail applies records as they are appended, except while the daemon is suspended.
func (d *daemon) tail(ctx context.Context) {
	for ctx.Err() == nil {
		changed := d.cluster.log.changedChan()
		if !d.get(&d.suspended) {
			next := d.machine.NextOffset()
			for i, data := range d.cluster.log.recordsFrom(next) {
				_ = d.machine.Apply(next+uint64(i), time.Now().UnixMilli(), data)
			}
		}
		select {
		case <-changed:
			time.Sleep(5 * time.Millisecond)
		case <-ctx.Done():
		}
	}
}

func (d *daemon) get(flag *bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return *flag
}

func (d *daemon) set(flag *bool, value bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*flag = value
}

// kill stops a daemon without draining it and starts a new one in its place.
func (c *cluster) kill(i int) {
	d := c.daemons[i]
	d.set(&d.dead, true)
	d.cancel()
	replacement := c.start()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[i] = replacement
}

func (c *cluster) byIncarnation(self string) *daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.daemons {
		if d.self == self && !d.get(&d.dead) {
			return d
		}
	}
	return nil
}

// call sends one request to a daemon and records the outcome, unless the daemon is
// killed before it responds.
func (d *daemon) call(key, input string, kind runKind) {
	ctx, stop := context.WithTimeout(context.Background(), 4*time.Second)
	defer stop()
	runsBefore := d.cluster.runCount(key)
	o := d.do(ctx, key, input, kind, false)
	if d.get(&d.dead) {
		return
	}
	c := d.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes[key] = append(c.outcomes[key], o)
	if outcome.CodeOf(o) == outcome.CodeLogUnavailable && c.log.mayHaveClaim(d.self, key) {
		c.falseNotRun = append(c.falseNotRun, key)
	}
	if _, notRun := o.(outcome.NotRun); notRun && runsBefore > 0 && outcome.CodeOf(o) != outcome.CodeKeyBodyMismatch {
		c.falseNotRun = append(c.falseNotRun, key+" had run")
	}
}

func (c *cluster) runCount(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.runs[key])
}

func (d *daemon) do(ctx context.Context, key, input string, kind runKind, forwarded bool) outcome.Outcome {
	id := ident.NewRequestID()
	return d.registry.Do(ctx, idempotency.Request{
		ID:            id,
		Workspace:     "w",
		Key:           key,
		Hash:          idempotency.HashRequest("order", "w", input),
		NonIdempotent: true,
		Run: func(context.Context) (outcome.Outcome, <-chan outcome.Outcome) {
			return d.run(id, key, kind)
		},
		Forward: func(ctx context.Context, owner string) outcome.Outcome {
			o := d.cluster.byIncarnation(owner)
			if o == nil || forwarded {
				return outcome.Unknown{
					RequestID: id,
					Code:      outcome.CodeOwnerGone,
				}
			}
			return o.do(ctx, key, input, kind, true)
		},
	})
}

// run is a fake pipeline. A dead daemon runs nothing.
func (d *daemon) run(id, key string, kind runKind) (outcome.Outcome, <-chan outcome.Outcome) {
	if kind == runNotRun {
		return outcome.NotRun{
			RequestID: id,
			Code:      outcome.CodeOverloaded,
		}, nil
	}
	if d.get(&d.dead) {
		<-d.cluster.ended // a killed process makes no progress
		return outcome.Unknown{
			RequestID: id,
		}, nil
	}
	d.cluster.mu.Lock()
	d.cluster.runs[key] = append(d.cluster.runs[key], id)
	d.cluster.mu.Unlock()
	time.Sleep(50 * time.Millisecond)
	answer := outcome.Answered{
		RequestID: id,
		Output:    fmt.Sprintf("answer of %s", key),
	}
	switch kind {
	case runFailed:
		return outcome.Failed{
			RequestID: id,
			Code:      outcome.CodeUpstreamFailed,
		}, nil
	case runAnsweredLate:
		late := make(chan outcome.Outcome, 1)
		time.AfterFunc(2*time.Second, func() { late <- answer })
		return outcome.Unknown{
			RequestID: id,
			Code:      outcome.CodeDeadlineExceeded,
		}, late
	}
	return answer, nil
}
