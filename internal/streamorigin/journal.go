package streamorigin

import (
	"cmp"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const defaultMaxJournalled = 1 << 18

// Record is the origin of a stream as it is recorded where it outlasts all daemons.
type Record struct {
	// Stream is a hash of the ID of the request that began it.
	Stream uint64
	Origin Origin
}

// RecordOf returns the record of an entry.
func RecordOf(e Entry) Record {
	return Record{
		Stream: streamHash(e.RequestID),
		Origin: e.Origin,
	}
}

func streamHash(requestID string) uint64 { return xxhash.Sum64String(requestID) }

// JournalConfig configures a Journal.
type JournalConfig struct {
	// MaxRecords bounds the records; the oldest are dropped. Zero means 262,144.
	MaxRecords int
}

// Journal holds the records of origins that this daemon has read. It is safe for concurrent use.
type Journal struct {
	maxRecords int

	mu      sync.Mutex
	streams map[uint64]journalled
	// queue holds the streams in the order in which they were first read.
	queue []journalledAt
}

// journalled is what the records say of a stream.
type journalled struct {
	origin Origin
	// ambiguous reports that they name several origins.
	ambiguous bool
}

type journalledAt struct {
	stream uint64
	at     time.Time
}

// NewJournal returns an empty Journal.
func NewJournal(cfg JournalConfig) *Journal {
	return &Journal{
		maxRecords: cmp.Or(cfg.MaxRecords, defaultMaxJournalled),
		streams:    make(map[uint64]journalled),
	}
}

// Add adds records that were read, and drops those that were read longer than retention ago.
func (j *Journal) Add(list []Record, retention time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	for _, r := range list {
		known, ok := j.streams[r.Stream]
		switch {
		case !ok:
			j.streams[r.Stream] = journalled{
				origin: r.Origin,
			}
			j.queue = append(j.queue, journalledAt{
				stream: r.Stream,
				at:     now,
			})
		case known.origin != r.Origin:
			known.ambiguous = true
			j.streams[r.Stream] = known
		}
	}
	for len(j.queue) > 0 && (len(j.queue) > j.maxRecords || now.Sub(j.queue[0].at) > retention) {
		delete(j.streams, j.queue[0].stream)
		j.queue = j.queue[1:]
	}
}

// Find returns the origin of the stream that a request began, and false if no record or several that differ tell it.
func (j *Journal) Find(requestID string) (Origin, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	known, ok := j.streams[streamHash(requestID)]
	return known.origin, ok && !known.ambiguous
}
