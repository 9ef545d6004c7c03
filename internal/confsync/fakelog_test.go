package confsync_test

import (
	"context"
	"errors"
	"sync"
	"time"

	"sequoiafork/internal/logservice"
)

var errCut = errors.New("connection cut")

// fakeLog is an in-memory log that injects the faults of a script. The field all keeps
// expired records too, for the oracle.
type fakeLog struct {
	mu  sync.Mutex
	all []logservice.Record
	// base is the offset of the very first record, zero or one.
	base     uint64
	first    uint64
	down     bool
	appended chan struct{}
}

func newFakeLog(base uint64) *fakeLog {
	return &fakeLog{
		base:     base,
		first:    base,
		appended: make(chan struct{}),
	}
}

func (l *fakeLog) add(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := uint64(len(l.all)) + l.base
	l.all = append(l.all, logservice.Record{
		Offset: offset,
		TimeMs: time.Now().UnixMilli(),
		Data:   data,
	})
	close(l.appended)
	l.appended = make(chan struct{})
	return offset
}

// expire drops the records before an offset.
func (l *fakeLog) expire(first uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.first = max(l.first, min(first, uint64(len(l.all))+l.base))
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

func (l *fakeLog) isDown() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.down
}

// before returns the records before an offset, including expired ones.
func (l *fakeLog) before(offset uint64) []logservice.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.all[:offset-l.base]
}

func (l *fakeLog) firstRetained() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

func (l *fakeLog) end() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return uint64(len(l.all)) + l.base
}

func (l *fakeLog) batch(from uint64, maxRecords int) (logservice.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return logservice.Batch{}, nil, &logservice.OffsetExpiredError{
			FirstOffset: l.first,
		}
	}
	b := logservice.Batch{
		FirstOffset: l.first,
		EndOffset:   uint64(len(l.all)) + l.base,
	}
	if from < b.EndOffset {
		records := l.all[from-l.base:]
		b.Records = records[:min(len(records), maxRecords)]
	}
	return b, l.appended, nil
}

// Faults of a link's next append.
const (
	appendLoseResponse = "lose_reply"
	appendLate         = "late"
	appendNever        = "never"
	appendTwice        = "twice"
)

const (
	lateAppendDelay = 3 * time.Second
	cutTimeout      = time.Second
	callDelay       = time.Millisecond
	slowDelay       = 2 * time.Second
	// maxBatch is small, so that a lagging daemon needs several reads.
	maxBatch = 7
)

// link is one daemon's connection to the log.
type link struct {
	log *fakeLog

	mu        sync.Mutex
	cut       bool
	slow      bool
	nextFault string
}

func (l *link) setSlow(slow bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slow = slow
}

func (l *link) delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slow {
		return slowDelay
	}
	return callDelay
}

func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) failNext(fault string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextFault = fault
}

func (l *link) takeFault() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := l.nextFault
	l.nextFault = ""
	return fault
}

func (l *link) Append(ctx context.Context, data []byte) (uint64, error) {
	time.Sleep(l.delay())
	if l.isCut() || l.log.isDown() {
		return 0, &logservice.RejectedError{
			Code: "unavailable",
		}
	}
	if err := ctx.Err(); err != nil {
		return 0, &logservice.RejectedError{
			Code: logservice.CodeCancelled,
		}
	}
	return l.log.add(data), nil
}

func (l *link) AppendEdit(ctx context.Context, data []byte) (uint64, error) {
	lost := &logservice.UnknownOutcomeError{
		Err: errCut,
	}
	switch l.takeFault() {
	case appendLoseResponse:
		l.log.add(data)
		return 0, lost
	case appendLate:
		time.AfterFunc(lateAppendDelay, func() { l.log.add(data) })
		return 0, lost
	case appendNever:
		return 0, lost
	case appendTwice:
		l.log.add(data)
		l.log.add(data)
		return 0, lost
	}
	return l.Append(ctx, data)
}

// Read waits for records in short steps, so that it notices when the link is cut.
func (l *link) Read(ctx context.Context, from uint64, maxRecords int, wait time.Duration) (logservice.Batch, error) {
	time.Sleep(callDelay)
	until := time.Now().Add(wait)
	for {
		if l.isCut() {
			return logservice.Batch{}, waitForTimeout(ctx)
		}
		if l.log.isDown() {
			return logservice.Batch{}, errCut
		}
		b, appended, err := l.log.batch(from, min(maxRecords, maxBatch))
		if err != nil || len(b.Records) > 0 || !time.Now().Before(until) {
			return b, err
		}
		select {
		case <-appended:
		case <-time.After(min(time.Until(until), cutTimeout)):
		case <-ctx.Done():
			return b, ctx.Err()
		}
	}
}

// waitForTimeout behaves like a call whose packets are dropped.
func waitForTimeout(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}
