package admission

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/table"
)

// grantLog records grants in the order in which they are told.
type grantLog struct {
	mu    sync.Mutex
	order []string
}

// grantRecorder records the grant of one request.
type grantRecorder struct {
	log  *grantLog
	name string
}

func (g grantRecorder) SlotGranted() {
	g.log.mu.Lock()
	defer g.log.mu.Unlock()
	g.log.order = append(g.log.order, g.name)
}

// TestGrantsAreToldInOrder guards against requests that get slots at one instant acting
// in the order in which their goroutines happen to run: when a pool grows, several waiters
// are granted at once, and the earliest deadline must be told first.
func TestGrantsAreToldInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waiters = 12
		var log grantLog
		var want []string
		c := New(Config{})
		acquire := func(name string, slots int, deadline time.Duration) {
			_, err := c.Acquire(context.Background(), Request{
				Pool: &table.Pool{
					Name: "p",
				},
				Slots:     slots,
				Workspace: "w",
				Deadline:  time.Now().Add(deadline),
				Granted: grantRecorder{
					log:  &log,
					name: name,
				},
			})
			require.NoError(t, err)
		}
		acquire("first", 1, time.Hour)
		for i := range waiters {
			name := string(rune('a' + i))
			want = append(want, name)
			go acquire(name, 1, time.Hour-time.Duration(i)*time.Minute)
			synctest.Wait()
		}
		slices.Reverse(want)
		acquire("last", waiters+2, time.Hour)
		synctest.Wait()
		require.Equal(t, slices.Concat([]string{"first"}, want, []string{"last"}), log.order)
	})
}
