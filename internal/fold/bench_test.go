package fold_test

import (
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
)

const claimsPerBatch = 64

// feed applies records at consecutive offsets, one millisecond of the log's time apart.
type feed struct {
	b       *testing.B
	machine *fold.StateMachine
}

func newFeed(b *testing.B) *feed {
	return &feed{
		b:       b,
		machine: fold.New(fold.Config{}),
	}
}

func (f *feed) apply(data []byte) {
	offset := f.machine.NextOffset()
	require.NoError(f.b, f.machine.Apply(offset, int64(offset), data))
}

// editPool returns the record of an edit that creates or replaces a pool.
func (f *feed) editPool(i, version int) []byte {
	pool := table.Pool{
		Name:        fmt.Sprintf("pool-%05d", i),
		Kind:        table.KindReranker,
		Service:     "rerank",
		Concurrency: 1 + version%table.MaxConcurrency,
		Shares: []table.Share{{
			Workspace: "hutwacht",
			Weight:    3,
		}},
	}
	row, _ := f.machine.Tables().Pool(pool.Name)
	data, err := fold.EncodeEdit(table.Edit{
		ID:           fmt.Sprintf("019b1e5a-7c00-7000-8000-%06d%06d", version, i),
		BaseRevision: row.Revision,
		Change: table.SetPool{
			Pool: pool,
		},
	})
	require.NoError(f.b, err)
	return data
}

func (f *feed) addRows(n int) {
	for i := range n {
		f.apply(f.editPool(i, 0))
	}
}

func (f *feed) claimBatch(from int) []byte {
	claims := make([]fold.Claim, claimsPerBatch)
	for i := range claims {
		binary.BigEndian.PutUint64(claims[i].KeyHash[24:], uint64(from+i))
		claims[i].KeyHash[0] = byte(from + i)
		claims[i].Owner = "127.0.0.1:7103/0123456789abcdef"
	}
	data, err := fold.EncodeClaims(claims)
	require.NoError(f.b, err)
	return data
}

func (f *feed) addClaims(n int) {
	for i := 0; i < n; i += claimsPerBatch {
		f.apply(f.claimBatch(i))
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkApplyEdit(b *testing.B) {
	for _, rows := range []int{100, 1000, 4000, 8000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			before := heapBytes()
			f := newFeed(b)
			f.addRows(rows)
			perRow := float64(heapBytes()-before) / float64(rows)
			version := 0
			for b.Loop() {
				b.StopTimer()
				version++
				data := f.editPool(version%rows, version)
				b.StartTimer()
				f.apply(data)
			}
			b.ReportMetric(perRow, "heap_B/row")
		})
	}
}

func BenchmarkApplyClaims(b *testing.B) {
	for _, claims := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("claims=%d", claims), func(b *testing.B) {
			before := heapBytes()
			f := newFeed(b)
			f.addClaims(claims)
			perClaim := float64(heapBytes()-before) / float64(claims)
			next := claims + claimsPerBatch
			for b.Loop() {
				b.StopTimer()
				data := f.claimBatch(next)
				next += claimsPerBatch
				b.StartTimer()
				f.apply(data)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/claimsPerBatch, "ns/claim")
			b.ReportMetric(perClaim, "heap_B/claim")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) {
			f := size.fill(b)
			bytes := 0
			for b.Loop() {
				data, err := f.machine.Snapshot("writer")
				require.NoError(b, err)
				bytes = len(data)
			}
			b.ReportMetric(float64(bytes), "B/snapshot")
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	for _, size := range sizes {
		b.Run(size.String(), func(b *testing.B) {
			data, err := size.fill(b).machine.Snapshot("writer")
			require.NoError(b, err)
			for b.Loop() {
				require.NoError(b, fold.New(fold.Config{}).Restore(data))
			}
		})
	}
}

// stateSize is the number of rows and claims that a machine holds.
type stateSize struct {
	rows   int
	claims int
}

var sizes = []stateSize{
	{
		rows: 100,
	},
	{
		rows: 1000,
	},
	{
		rows: 4000,
	},
	{
		rows: 8000,
	},
	{
		claims: 1000,
	},
	{
		claims: 10_000,
	},
	{
		claims: 100_000,
	},
}

func (s stateSize) String() string {
	return fmt.Sprintf("rows=%d,claims=%d", s.rows, s.claims)
}

// fill returns a feed whose machine holds s.rows rows and s.claims claims, but no edit
// outcomes: those of the edits that added the rows have expired.
func (s stateSize) fill(b *testing.B) *feed {
	f := newFeed(b)
	f.addRows(s.rows)
	later := int64(f.machine.NextOffset()) + 2*fold.DefaultEditWindow.Milliseconds()
	require.NoError(b, f.machine.Apply(f.machine.NextOffset(), later, nil))
	f.machine = restored(b, f.machine)
	f.addClaims(s.claims)
	return f
}

// restored returns a new machine with the state of m.
func restored(b *testing.B, m *fold.StateMachine) *fold.StateMachine {
	data, err := m.Snapshot("writer")
	require.NoError(b, err)
	next := fold.New(fold.Config{})
	require.NoError(b, next.Restore(data))
	return next
}
