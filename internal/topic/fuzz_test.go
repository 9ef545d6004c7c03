package topic

import (
	"encoding/binary"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/era"
)

// fuzzStep is the number of bytes that describe one step of FuzzTail.
const fuzzStep = 18

// FuzzTail guards against a read of a peer at a position, or records after one, that end the process, and against
// records that are served for another position than their own. Each step is a kind, a number of records, an era and an
// offset.
func FuzzTail(f *testing.F) {
	step := func(kind, count byte, at era.Position) []byte {
		raw := []byte{kind, count}
		raw = binary.BigEndian.AppendUint64(raw, uint64(at.Era))
		return binary.BigEndian.AppendUint64(raw, uint64(at.Offset))
	}
	extreme := era.Position{
		Era:    math.MinInt64,
		Offset: math.MaxInt64,
	}
	f.Add(append(step(0, 3, at(5)), step(2, 0, at(6))...))
	f.Add(append(step(0, 3, at(math.MaxInt64-1)), step(2, 0, at(math.MaxInt64))...))
	f.Add(append(step(1, 0, extreme), step(2, 0, at(math.MinInt64))...))
	f.Add(append(append(step(0, 3, at(-2)), step(0, 2, extreme)...), step(2, 0, extreme)...))
	f.Fuzz(func(t *testing.T, raw []byte) {
		tail, newest := newTail("t"), newNewest()
		tail.setReadAt(time.Now())
		for ; len(raw) >= fuzzStep; raw = raw[fuzzStep:] {
			position := era.Position{
				Era:    int64(binary.BigEndian.Uint64(raw[2:])),
				Offset: int64(binary.BigEndian.Uint64(raw[10:])),
			}
			records := fuzzRecords(int(raw[1]), position)
			switch raw[0] % 3 {
			case 0:
				tail.appendRecords(position, records)
				newest.apply(records, position)
			case 1:
				tail.reset(position)
				newest.reset(Snapshot{
					Records: records,
					End:     position,
				})
			case 2:
				checkPage(t, tail, position)
			}
			_, _ = newest.snapshot("t")
		}
	})
}

// fuzzRecords returns records that begin at a position: a value, a deletion, and one that says the same as before.
func fuzzRecords(count int, position era.Position) []Record {
	records := make([]Record, count)
	for i := range records {
		records[i] = Record{
			Key:       string(rune('a' + i%5)),
			At:        position.WithOffset(position.Offset + int64(i)),
			Unchanged: i%3 == 2,
		}
		if i%3 == 0 {
			records[i].Value = make([]byte, i)
		}
	}
	return records
}

func checkPage(t *testing.T, tail *tail, position era.Position) {
	t.Helper()
	page, _, err := tail.pageFrom(position, time.Now())
	if err == nil && len(page.Records) > 0 {
		require.Equal(t, position, page.Records[0].At)
	}
}
