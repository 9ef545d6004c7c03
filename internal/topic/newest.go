package topic

import (
	"sync"

	"sequoiafork/internal/era"
)

// maxNewestBytes bounds the keys and values of the newest records that are served to another daemon. Those
// of the upstreams of the largest deployment have a fifth of that.
const maxNewestBytes = 256 << 10

// newest holds the newest record of each key, for other daemons. It is safe for concurrent use.
type newest struct {
	mu      sync.Mutex
	records map[string]Record
	end     era.Position
}

func newNewest() *newest {
	return &newest{
		records: make(map[string]Record),
		end: era.Position{
			Offset: -1,
		},
	}
}

// reset replaces all records.
func (n *newest) reset(s Snapshot) {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.records)
	for _, r := range s.Records {
		n.records[r.Key] = r
	}
	n.end = s.End
}

// apply adds the records that end before a position.
func (n *newest) apply(records []Record, end era.Position) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range records {
		switch old, known := n.records[r.Key]; {
		case !r.Unchanged && r.Value == nil:
			delete(n.records, r.Key)
		case !r.Unchanged:
			n.records[r.Key] = r
		case known:
			old.At = r.At
			n.records[r.Key] = old
		}
	}
	n.end = end
}

// snapshot returns all records. The error is a *NotCurrentError before the first ones, or a
// *TooLargeError.
func (n *newest) snapshot(topic string) (Snapshot, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.end.Offset < 0 {
		return Snapshot{}, &NotCurrentError{
			Topic: topic,
		}
	}
	s := Snapshot{
		End: n.end,
	}
	for _, r := range n.records {
		s.Records = append(s.Records, r)
	}
	if size := totalSize(s.Records); size > maxNewestBytes {
		return Snapshot{}, &TooLargeError{
			Topic: topic,
			Bytes: size,
		}
	}
	return s, nil
}
