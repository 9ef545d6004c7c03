package bytequota

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScripts plays testdata/scripts on a quota of 100 bytes with a minimum of 10 for each
// buffer. Each line of "play" is the name of a buffer and its new size, "reset",
// "release", or "grow": by one byte until it may not.
func TestScripts(t *testing.T) {
	datadriven.RunTest(t, "testdata/scripts", func(t *testing.T, d *datadriven.TestData) string {
		q := New(Config{
			Bytes:        100,
			MinimumBytes: 10,
		})
		buffers := make(map[string]*Reservation)
		var out strings.Builder
		for line := range strings.Lines(d.Input) {
			name, action, _ := strings.Cut(strings.TrimSpace(line), " ")
			if buffers[name] == nil {
				buffers[name] = q.Reserve()
			}
			fmt.Fprintf(&out, "%s %s: %s, %d used\n", name, action, play(t, buffers[name], action), q.Used())
		}
		return out.String()
	})
}

func play(t *testing.T, r *Reservation, action string) string {
	t.Helper()
	switch action {
	case "reset":
		r.Reset()
		return "ok"
	case "release":
		r.Release()
		return "ok"
	case "grow":
		size := r.quota.cfg.MinimumBytes + r.beyond.Load()
		for r.Resize(size+1) == nil {
			size++
		}
		return fmt.Sprintf("to %d", size)
	}
	var size int64
	_, err := fmt.Sscan(action, &size)
	require.NoError(t, err)
	if err := r.Resize(size); err != nil {
		return err.Error()
	}
	return "ok"
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

func TestReadAll(t *testing.T) {
	q := New(Config{
		Bytes:        64 << 10,
		MinimumBytes: 4 << 10,
	})
	for _, size := range []int{0, 1, initialBytes, initialBytes + 1, 20_000} {
		r := q.Reserve()
		body, err := r.ReadAll(strings.NewReader(strings.Repeat("a", size)), 20_000)
		require.NoError(t, err)
		require.Len(t, body, size)
		r.Release()
		require.Zero(t, q.Used())
	}
	r := q.Reserve()
	body, err := r.ReadAll(strings.NewReader(strings.Repeat("a", 32<<10)), 32<<10)
	require.NoError(t, err, "half of the quota")
	require.Len(t, body, 32<<10)
	r.Release()

	r = q.Reserve()
	body, err = r.ReadAll(zeros{}, 20_000)
	var tooLong *TooLongError
	require.ErrorAs(t, err, &tooLong)
	require.Len(t, body, 20_000)
	r.Release()

	r = q.Reserve()
	_, err = r.ReadAll(zeros{}, 1<<40)
	var exceeded *ExceededError
	require.ErrorAs(t, err, &exceeded)
	require.LessOrEqual(t, q.Used(), int64(32<<10))
	r.Release()
	require.Zero(t, q.Used())

	broken := errors.New("broken")
	body, err = q.Reserve().ReadAll(io.MultiReader(strings.NewReader("ab"), failing{
		err: broken,
	}), 100)
	require.ErrorIs(t, err, broken)
	require.Equal(t, "ab", string(body))
}

type failing struct {
	err error
}

func (f failing) Read([]byte) (int, error) { return 0, f.err }
