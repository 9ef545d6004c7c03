package control

import (
	"slices"
	"sync"
	"time"

	"sequoiafork/internal/wire/standinapi"
)

// Ledger records what a stand-in actually executed. It is safe for concurrent
// use; the zero value is empty.
type Ledger struct {
	mu      sync.Mutex
	entries []standinapi.Entry
	appends int64
	reads   int64
}

// Execution is an execution in progress, recorded in a ledger.
type Execution struct {
	ledger *Ledger
	index  int
	began  time.Time
}

// Begin records the start of an execution. It sets the times of the entry.
func (l *Ledger) Begin(e standinapi.Entry) *Execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	e.TimeMs = now.UnixMilli()
	e.Completed = false
	l.entries = append(l.entries, e)
	return &Execution{
		ledger: l,
		index:  len(l.entries) - 1,
		began:  now,
	}
}

// Complete records that the execution ran to completion, and its output.
func (e *Execution) Complete(output string) {
	e.update(func(entry *standinapi.Entry) {
		entry.Completed = true
		entry.Output = standinapi.NewOptString(output)
	})
}

// Abandon records that the execution ended early.
func (e *Execution) Abandon() {
	e.update(func(*standinapi.Entry) {})
}

func (e *Execution) update(change func(*standinapi.Entry)) {
	e.ledger.mu.Lock()
	defer e.ledger.mu.Unlock()
	entry := &e.ledger.entries[e.index]
	entry.ServiceMs = float64(time.Since(e.began)) / float64(time.Millisecond)
	change(entry)
}

// CountAppend counts an append that took effect.
func (l *Ledger) CountAppend() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
}

// CountRead counts a read.
func (l *Ledger) CountRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
}

// Snapshot returns a copy of the ledger.
func (l *Ledger) Snapshot() *standinapi.Ledger {
	l.mu.Lock()
	defer l.mu.Unlock()
	entries := slices.Clone(l.entries)
	if entries == nil {
		entries = []standinapi.Entry{}
	}
	return &standinapi.Ledger{
		Entries: entries,
		Appends: l.appends,
		Reads:   l.reads,
	}
}
