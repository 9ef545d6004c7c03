package stagework

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"sequoiafork/internal/ratelimit"
)

// fakeUpstreams implements Invoker with stage upstreams that run on a fake clock and have
// one slot each, limited result memory and faults.
type fakeUpstreams struct {
	mu    sync.Mutex
	began time.Time
	list  map[string]*fakeUpstream
	trace []string
	// worked is the total time of the calls, including those whose results were not used.
	worked        time.Duration
	pieces        []workedPiece
	calls         int
	noMemory      int
	memoryQueries int // calls of FreeMemory
	// onLimit receives the limits that upstreams name.
	onLimit func(incarnation string, l ratelimit.Limit)
	// onPause receives the pauses that upstreams ask for.
	onPause func(incarnation string, until time.Time)
}

// workedPiece is a piece on which an upstream has worked.
type workedPiece struct {
	pieceID
	// work is its share of the time of the call.
	work      time.Duration
	hasResult bool
}

// pieceID identifies a piece of a job.
type pieceID struct {
	requestID    string
	stage, piece int
}

// thrownAway returns the time for which upstreams worked on pieces of jobs that are not done, on pieces that had a
// result already, and on those that found no memory.
func (f *fakeUpstreams) thrownAway(done map[string]bool) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	used := make(map[pieceID]bool)
	sum := time.Duration(0)
	for _, w := range f.pieces {
		if w.hasResult && done[w.requestID] && !used[w.pieceID] {
			used[w.pieceID] = true
			continue
		}
		sum += w.work
	}
	return sum
}

// recordWork records the work of a call. f.mu must be held.
func (f *fakeUpstreams) recordWork(items []Item, results []ItemResult, work time.Duration) {
	f.calls++
	f.worked += work
	for i, it := range items {
		f.pieces = append(f.pieces, workedPiece{
			pieceID: pieceID{
				requestID: it.RequestID,
				stage:     it.Stage,
				piece:     it.Piece,
			},
			work:      work / time.Duration(len(items)),
			hasResult: results[i].Handle != "",
		})
	}
}

type fakeUpstream struct {
	turn         chan struct{} // holds a token during a call
	callTime     time.Duration
	itemTime     time.Duration
	lifetime     time.Duration
	memory       int64
	held         map[string]int64
	sizes        func(Item) int64
	factor       float64
	unresponsive bool
	full         bool
	lastHandle   int
	// limit is the number of requests a second that the upstream takes, or zero.
	limit    float64
	requests []time.Time // that reached it
	// From pausesFrom to pausesUntil after the start the upstream rejects all requests and asks for
	// pauses of pauseLength each time, at the times in asked.
	pauses bool
	asked  []time.Time
}

const (
	pausesFrom  = 5 * time.Second
	pausesUntil = 15 * time.Second
	pauseLength = 2 * time.Second
)

func (f *fakeUpstreams) find(u Upstream) *fakeUpstream {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list[u.Incarnation]
}

func (f *fakeUpstreams) tracef(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, fmt.Sprintf("%6d ms ", time.Since(f.began).Milliseconds())+fmt.Sprintf(format, args...))
}

// arrive records a request at an upstream and, when it has ended, names its limit.
func (f *fakeUpstreams) arrive(u Upstream) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.list[u.Incarnation]
	s.requests = append(s.requests, time.Now())
	if f.pausing(s) {
		s.asked = append(s.asked, time.Now())
	}
	return func() {
		if f.pausing(s) {
			f.onPause(u.Incarnation, time.Now().Add(pauseLength))
		}
		if s.limit > 0 {
			f.onLimit(u.Incarnation, ratelimit.Limit{
				Limited:   true,
				PerSecond: s.limit,
				At:        time.Now(),
			})
		}
	}
}

// pausing reports whether an upstream rejects requests now.
func (f *fakeUpstreams) pausing(s *fakeUpstream) bool {
	since := time.Since(f.began)
	return s.pauses && since >= pausesFrom && since < pausesUntil
}

// mostInPause returns how many requests an upstream got at most between half a second after it asked for a
// pause and the end of the pause.
func (f *fakeUpstreams) mostInPause() int {
	const margin = 500 * time.Millisecond
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, s := range f.list {
		for _, asked := range s.asked {
			n := 0
			for _, at := range s.requests {
				if since := at.Sub(asked); since > margin && since < pauseLength {
					n++
				}
			}
			most = max(most, n)
		}
	}
	return most
}

// mostOver returns by how many requests an upstream that limits its rate exceeded the users' bound at
// most: one and a half times the limit in 4 s and 5 more, from 3 s after it first named the limit.
func (f *fakeUpstreams) mostOver() int {
	const (
		window = 4 * time.Second
		grace  = 3 * time.Second
	)
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, s := range f.list {
		if s.limit == 0 {
			continue
		}
		allowed := int(1.5*s.limit*window.Seconds()) + 5
		for i, at := range s.requests {
			n := 0
			for _, later := range s.requests[i:] {
				if later.Sub(at) <= window && later.Sub(s.requests[0]) >= grace {
					n++
				}
			}
			most = max(most, n-allowed)
		}
	}
	return most
}

// Run implements Invoker.
func (f *fakeUpstreams) Run(ctx context.Context, u Upstream, items []Item) ([]ItemResult, error) {
	defer f.arrive(u)()
	s := f.find(u)
	f.mu.Lock()
	full, unresponsive, factor := s.full || f.pausing(s), s.unresponsive, s.factor
	f.mu.Unlock()
	if full {
		return nil, &BusyError{
			Addr: u.Addr,
		}
	}
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	s.turn <- struct{}{}
	f.tracef("%s begins %s", u.Incarnation, itemNames(items))
	results := f.createResults(s, u, items)
	work := time.Duration(factor * float64(s.callTime+time.Duration(len(items))*s.itemTime))
	time.Sleep(work)
	<-s.turn
	f.mu.Lock()
	f.recordWork(items, results, work)
	f.mu.Unlock()
	time.AfterFunc(s.lifetime, func() { f.expire(s, results) })
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return results, nil
}

func itemNames(items []Item) string {
	var names []string
	for _, it := range items {
		names = append(names, fmt.Sprintf("%s/%d.%d", it.RequestID, it.Stage, it.Piece))
	}
	return strings.Join(names, " ")
}

func (f *fakeUpstreams) createResults(s *fakeUpstream, u Upstream, items []Item) []ItemResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	results := make([]ItemResult, len(items))
	var used int64
	for _, n := range s.held {
		used += n
	}
	for i, it := range items {
		size := s.sizes(it)
		if used+size > s.memory {
			results[i].Status = InsufficientMemory
			f.noMemory++
			continue
		}
		used += size
		s.lastHandle++
		handle := fmt.Sprintf("%s/%d", u.Incarnation, s.lastHandle)
		s.held[handle] = size
		results[i].Handle = handle
	}
	return results
}

func (f *fakeUpstreams) expire(s *fakeUpstream, results []ItemResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, r := range results {
		delete(s.held, r.Handle)
	}
}

// Free implements Invoker.
func (f *fakeUpstreams) Free(_ context.Context, u Upstream, handles []string) error {
	defer f.arrive(u)()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.pausing(f.list[u.Incarnation]) {
		return &BusyError{
			Addr: u.Addr,
		}
	}
	for _, h := range handles {
		if _, ok := f.list[u.Incarnation].held[h]; !ok {
			return errors.New("result does not exist or was freed before: " + h)
		}
		delete(f.list[u.Incarnation].held, h)
	}
	return nil
}

// FreeMemory implements Invoker.
func (f *fakeUpstreams) FreeMemory(_ context.Context, u Upstream) (int64, error) {
	defer f.arrive(u)()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.memoryQueries++
	s := f.list[u.Incarnation]
	if f.pausing(s) {
		return 0, &BusyError{
			Addr: u.Addr,
		}
	}
	left := s.memory
	for _, n := range s.held {
		left -= n
	}
	return left, nil
}
