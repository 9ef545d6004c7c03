package eventstream

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/bytequota"
)

func newTestReader(source io.Reader) *Reader {
	return NewReader(Config{
		Source: source,
		Memory: bytequota.New(bytequota.Config{}),
	})
}

func TestNext(t *testing.T) {
	for _, c := range []struct {
		name string
		text string
		ids  []int64
		err  error
	}{
		{
			name: "empty",
			err:  io.EOF,
		},
		{
			name: "complete",
			text: "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: note\n\n",
			ids:  []int64{1, 2, -1},
			err:  io.EOF,
		},
		{
			name: "truncated within a line",
			text: "id: 1\n\nid: 2\nda",
			ids:  []int64{1},
			err:  io.ErrUnexpectedEOF,
		},
		{
			name: "truncated before the blank line",
			text: "id: 1\ndata: a\n",
			err:  io.ErrUnexpectedEOF,
		},
		{
			name: "id that is not a number",
			text: "id: x\n\n",
			ids:  []int64{-1},
			err:  io.EOF,
		},
		{
			name: "too long",
			text: strings.Repeat("data: a\n", maxEventBytes/8+1),
			err:  ErrTooLong,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newTestReader(strings.NewReader(c.text))
			var ids []int64
			for {
				e, err := r.Next()
				if err != nil {
					require.ErrorIs(t, err, c.err)
					break
				}
				if !e.HasID {
					e.ID = -1
				}
				ids = append(ids, e.ID)
			}
			require.Equal(t, c.ids, ids)
		})
	}
}

// Blank lines and comments must be told apart from events, since a stalled upstream may send them.
func TestBlankLinesAndCommentsHaveNoFields(t *testing.T) {
	r := newTestReader(strings.NewReader("\n\r\n: a\n: b\n\n: a\ndata\n\nid: 1\n\n"))
	for _, want := range []bool{false, false, false, true, true} {
		e, err := r.Next()
		require.NoError(t, err)
		require.Equal(t, want, e.HasFields, "%q", e.Raw)
	}
}

// endlessLine is a line that does not end within limit bytes.
type endlessLine struct {
	read  int
	limit int
}

func (l *endlessLine) Read(p []byte) (int, error) {
	if l.read >= l.limit {
		return 0, errors.New("read too much of the line")
	}
	for i := range p {
		p[i] = 'a'
	}
	l.read += len(p)
	return len(p), nil
}

// A line without end must not be collected in memory for longer than an event may be.
func TestEndlessLineIsTooLong(t *testing.T) {
	line := &endlessLine{
		limit: 4 * maxEventBytes,
	}
	_, err := newTestReader(line).Next()
	require.ErrorIs(t, err, ErrTooLong)
}

// slowLine is an endlessLine of which 1 KiB arrives in each millisecond. It counts in total the bytes
// that arrived on all lines which are still read.
type slowLine struct {
	endlessLine
	total *atomic.Int64
	max   *atomic.Int64
}

func (l *slowLine) Read(p []byte) (int, error) {
	time.Sleep(time.Millisecond)
	n, err := l.endlessLine.Read(p[:min(len(p), 1<<10)])
	if total := l.total.Add(int64(n)); total > l.max.Load() {
		l.max.Store(total)
	}
	return n, err
}

// Events without end that arrive side by side must not use up the memory.
func TestEndlessEventsShareMemory(t *testing.T) {
	const (
		lines       = 400
		memoryBytes = 4 << 20
	)
	synctest.Test(t, func(t *testing.T) {
		memory := bytequota.New(bytequota.Config{
			Bytes: memoryBytes,
		})
		var total, most atomic.Int64
		var g sync.WaitGroup
		for range lines {
			g.Go(func() {
				line := &slowLine{
					endlessLine: endlessLine{
						limit: 4 * maxEventBytes,
					},
					total: &total,
					max:   &most,
				}
				_, err := NewReader(Config{
					Source: line,
					Memory: memory,
				}).Next()
				var exceeded *bytequota.ExceededError
				require.True(t, errors.As(err, &exceeded) || errors.Is(err, ErrTooLong), "Next: %v", err)
				total.Add(-int64(line.read))
			})
		}
		g.Wait()
		require.LessOrEqual(t, most.Load(), int64(memoryBytes+lines*2*bytequota.DefaultMinimumBytes))
		require.Zero(t, memory.Used())
	})
}

// FuzzNext checks that the concatenated events are a prefix of the stream, and equal to it
// if the stream ends after a complete event.
func FuzzNext(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"))
	f.Add([]byte("\r\n\n\nid:\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r := newTestReader(bytes.NewReader(text))
		var got []byte
		for {
			e, err := r.Next()
			if err != nil {
				if errors.Is(err, io.EOF) {
					require.Equal(t, len(text), len(got))
				}
				break
			}
			got = append(got, e.Raw...)
		}
		require.True(t, bytes.HasPrefix(text, got))
	})
}
