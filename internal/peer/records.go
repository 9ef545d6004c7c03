package peer

import (
	"sort"
	"sync"
	"time"

	"sequoiafork/internal/wire/peerpb"
)

const (
	// minPushAge is how old a record must have been at the time of the peer's heartbeat
	// that shows the peer lagging, for the record to be pushed. Peers that read the log
	// themselves have the record by then and need no push.
	minPushAge = 300 * time.Millisecond
	// repushInterval is how long to wait before records are pushed again to a peer that
	// still lags.
	repushInterval = 3 * time.Second
	// maxPushBytes limits the size of the records in one message. The last record may
	// exceed it.
	maxPushBytes = 256 << 10
)

// recordBuffer holds the newest log records in the order of their offsets, up to limit
// bytes of data.
type recordBuffer struct {
	limit int

	mu      sync.Mutex
	records []bufferedRecord
	bytes   int
}

type bufferedRecord struct {
	record      *peerpb.LogRecord
	publishedAt time.Time
}

// Publish buffers log records, in any order, for pushing to lagging neighbours.
func (n *Node) Publish(records []*peerpb.LogRecord) {
	n.recent.add(records, time.Now())
}

func (r *recordBuffer) add(records []*peerpb.LogRecord, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rec := range records {
		i := r.search(rec.GetOffset())
		if i < len(r.records) && r.records[i].record.GetOffset() == rec.GetOffset() {
			continue
		}
		r.records = append(r.records, bufferedRecord{})
		copy(r.records[i+1:], r.records[i:])
		r.records[i] = bufferedRecord{
			record:      rec,
			publishedAt: now,
		}
		r.bytes += len(rec.GetData())
	}
	r.trim()
}

func (r *recordBuffer) trim() {
	drop := 0
	for r.bytes > r.limit && drop < len(r.records) {
		r.bytes -= len(r.records[drop].record.GetData())
		drop++
	}
	if drop > 0 {
		r.records = append([]bufferedRecord(nil), r.records[drop:]...)
	}
}

// search returns the index of the first record at or after an offset.
func (r *recordBuffer) search(offset uint64) int {
	return sort.Search(len(r.records), func(i int) bool {
		return r.records[i].record.GetOffset() >= offset
	})
}

// from returns the buffered records from an offset on that were published before a time,
// as many as go into one message. It returns none if the record at the offset is not
// buffered.
func (r *recordBuffer) from(offset uint64, before time.Time) []*peerpb.LogRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := r.search(offset)
	if i == len(r.records) || r.records[i].record.GetOffset() != offset {
		return nil
	}
	var records []*peerpb.LogRecord
	bytes := 0
	for ; i < len(r.records) && r.records[i].publishedAt.Before(before) && bytes < maxPushBytes; i++ {
		records = append(records, r.records[i].record)
		bytes += len(r.records[i].record.GetData())
	}
	return records
}

// push sends records to the neighbours whose last heartbeat shows that they lag.
func (n *Node) push(now time.Time) {
	for _, l := range n.openLinks() {
		next, heartbeatAt := l.member.Progress()
		if next >= l.pushedNext || now.Sub(l.pushedAt) >= repushInterval {
			n.pushTo(l, next, heartbeatAt.Add(-minPushAge), now)
		}
	}
}

func (n *Node) pushTo(l *link, next uint64, before, now time.Time) {
	records := n.recent.from(next, before)
	if len(records) == 0 {
		return
	}
	l.pushedNext = records[len(records)-1].GetOffset() + 1
	l.pushedAt = now
	msg := &peerpb.LinkMessage{
		Records: records,
	}
	if !l.Send(msg) {
		l.member.Close()
	}
}
