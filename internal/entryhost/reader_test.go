package entryhost

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/era"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/topic"
)

// oneRecord is a store that holds one record, or is down.
type oneRecord struct {
	down bool
}

var errStoreDown = errors.New("the store is down")

func (s oneRecord) Newest(context.Context, string) (topic.Snapshot, error) {
	if s.down {
		return topic.Snapshot{}, errStoreDown
	}
	return topic.Snapshot{
		Records: []topic.Record{
			{
				Key:   "k",
				Value: []byte("1"),
			},
		},
		End: era.Position{
			Offset: 1,
		},
	}, nil
}

func (s oneRecord) Read(ctx context.Context, _ string, _ era.Position, wait time.Duration) (topic.Page, error) {
	if s.down {
		return topic.Page{}, errStoreDown
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return topic.Page{}, nil
}

// follow makes a daemon follow a topic and returns a channel that receives the newest records.
func (r *running) follow(t *testing.T, store topic.Store) <-chan topic.Snapshot {
	received := make(chan topic.Snapshot, 1)
	f := r.Follow(topic.Config{
		Name:         "t",
		Store:        store,
		PollInterval: func() time.Duration { return 200 * time.Millisecond },
		PollTimeout:  r.UpstreamsPollTimeout,
		Backoff:      r.RetryBackoff,
		OnRecords:    func([]topic.Record) {},
		OnNewest: func(s topic.Snapshot) {
			select {
			case received <- s:
			default: // The first ones are enough.
			}
		},
		Logger: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return received
}

// TestStartBesideOnlyTheOwner guards against daemons that start while the store does not serve them and never learn of
// the upstreams, since the only daemon that knows them owns the stage work.
func TestStartBesideOnlyTheOwner(t *testing.T) {
	owner := start(t, &invoker{})
	<-owner.follow(t, oneRecord{})
	agreed(t, []*running{owner})
	late := startWithout(t, &invoker{}, owner.PeerAddr())
	select {
	case s := <-late.follow(t, oneRecord{
		down: true,
	}):
		require.Len(t, s.Records, 1)
	case <-time.After(waitTimeout):
		require.Fail(t, "the newest records were not received", "within %v", waitTimeout)
	}
}

// TestExcludedReader checks which daemon is not used as reader. The input has a line for each daemon, its name and
// what it is: owner, configured, alive without routes, or dead.
func TestExcludedReader(t *testing.T) {
	datadriven.Walk(t, "testdata/excluded_reader", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var members []membership.Member
			var owner membership.Member
			for line := range strings.Lines(d.Input) {
				name, kind, _ := strings.Cut(strings.TrimSpace(line), " ")
				m := membership.Member{
					Incarnation: name,
					State:       membership.Alive,
				}
				switch kind {
				case "owner":
					m.Revision = 1
					owner = m
				case "configured":
					m.Revision = 1
				case "alive":
				case "dead":
					m.Revision = 1
					m.State = membership.Dead
				default:
					require.Fail(t, "unknown kind", kind)
				}
				members = append(members, m)
			}
			return cmp.Or(excludedReader(members, owner), "nobody") + "\n"
		})
	})
}
