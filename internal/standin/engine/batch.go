package engine

import (
	"container/heap"
	"context"
	"time"
)

// Run steps the batch until ctx ends. Each step produces one token for every
// running sequence. A step takes longer the more sequences run and the more
// bytes of newly admitted prompts are not cached.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		d, work := e.admit()
		if !work {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		timer.Reset(d)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			e.step()
		}
	}
}

// admit fills the batch from the queue and returns the duration of the next
// step. It reports false when the batch is empty.
func (e *Engine) admit() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expire()
	prefill := time.Duration(0)
	for len(e.batch) < e.capacity && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*sequence)
		s.queued = false
		if s.removed || s.readers == 0 {
			continue
		}
		prefill += e.begin(s)
	}
	if len(e.batch) == 0 {
		return 0, false
	}
	utilization := float64(len(e.batch)-1) / float64(e.capacity)
	tokenTime := time.Duration(float64(e.tokenTime) * (1 + fullBatchSlowdown*utilization))
	return e.control.Faults.Slow(tokenTime + prefill), true
}

// begin adds a sequence to the batch and returns the duration of its prefill.
func (e *Engine) begin(s *sequence) time.Duration {
	s.running = true
	e.batch = append(e.batch, s)
	dropRate := e.control.Faults.Current().DropCacheEvents.Or(0)
	s.cachedBytes = e.cache.use(s.prompt, dropRate)
	if s.execution == nil {
		s.execution = e.beginLedgerEntry(s)
	}
	return time.Duration(len(s.prompt)-s.cachedBytes) * e.prefillTimePerByte
}

// step produces the next token of each running sequence.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.batch[:0]
	for _, s := range e.batch {
		if s.removed || s.readers == 0 {
			s.running = false
			s.notify()
			continue
		}
		s.produced++
		if s.finished() {
			s.running = false
			e.completeLedgerEntry(s)
		} else {
			kept = append(kept, s)
		}
		s.notify()
	}
	clear(e.batch[len(kept):])
	e.batch = kept
}

// expire removes sequences that no reader has resumed within the resume timeout.
func (e *Engine) expire() {
	for id, s := range e.sequences {
		if s.readers == 0 && time.Since(s.lastDetach) > e.resumeTimeout {
			e.remove(id, s)
		}
	}
}

func (e *Engine) remove(id string, s *sequence) {
	delete(e.sequences, id)
	if s.removed {
		return
	}
	s.removed = true
	if s.execution != nil && !s.finished() {
		s.execution.Abandon()
	}
	s.notify()
}
