package confsync

import "sequoiafork/internal/wire/peerpb"

// maxRecentBytes bounds the total data size of the records that are kept for peers.
const maxRecentBytes = 4 << 20

// recentRecords holds the latest applied records, without gaps. After the state has been
// restored from a snapshot it holds none until the next one is applied.
type recentRecords struct {
	limit   int
	bytes   int
	records []*peerpb.LogRecord
}

func (q *recentRecords) add(rec *peerpb.LogRecord) {
	if n := len(q.records); n > 0 && q.records[n-1].GetOffset()+1 != rec.GetOffset() {
		q.reset()
	}
	q.records = append(q.records, rec)
	q.bytes += len(rec.GetData())
	for len(q.records) > q.limit || q.bytes > maxRecentBytes {
		q.bytes -= len(q.records[0].GetData())
		q.records = q.records[1:]
	}
}

func (q *recentRecords) reset() {
	q.records = nil
	q.bytes = 0
}

// from returns the held records from an offset on, which may be none. It reports false if
// no records are held or the oldest one is after the offset.
func (q *recentRecords) from(offset uint64) ([]*peerpb.LogRecord, bool) {
	if len(q.records) == 0 || offset < q.records[0].GetOffset() {
		return nil, false
	}
	skip := min(offset-q.records[0].GetOffset(), uint64(len(q.records)))
	return q.records[skip:], true
}
