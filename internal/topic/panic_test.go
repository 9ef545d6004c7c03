package topic

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"sequoiafork/internal/era"
)

// onePageStore has one record at each position.
type onePageStore struct{}

// Newest implements Store.
func (onePageStore) Newest(context.Context, string) (Snapshot, error) {
	return Snapshot{
		End: at(0),
	}, nil
}

// Read implements Store.
func (onePageStore) Read(_ context.Context, _ string, from era.Position, _ time.Duration) (Page, error) {
	return Page{
		Records: []Record{
			{
				Key:   "k",
				Value: []byte("v"),
				At:    from,
			},
		},
	}, nil
}

// noPeers has no other daemon.
type noPeers struct{}

// ReadTopic implements Peers.
func (noPeers) ReadTopic(context.Context, string, era.Position, time.Duration) (Page, error) {
	return Page{}, &OwnReadError{}
}

// ReadNewest implements Peers.
func (noPeers) ReadNewest(context.Context, string) (Snapshot, error) {
	return Snapshot{}, &OwnReadError{}
}

// TestPanicOnARecordDoesNotEndTheFollower guards against a record that ends all daemons, also those that start later.
func TestPanicOnARecordDoesNotEndTheFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		second := func() time.Duration { return time.Second }
		backoff := func(int) time.Duration { return time.Second }
		var handled []int64
		f := New(Config{
			Name:  "t",
			Store: onePageStore{},
			Peers: noPeers{},
			Breaker: NewBreaker(BreakerConfig{
				Backoff: backoff,
			}),
			PollInterval: second,
			PollTimeout:  second,
			Backoff:      backoff,
			OnNewest:     func(Snapshot) {},
			OnRecords: func(records []Record) {
				if records[0].At.Offset == 1 {
					panic("fault")
				}
				handled = append(handled, records[0].At.Offset)
			},
			Logger: zap.NewNop(),
		})
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		require.ErrorIs(t, f.Run(ctx), context.DeadlineExceeded)
		require.GreaterOrEqual(t, len(handled), 3)
		require.Equal(t, []int64{0, 2, 3}, handled[:3])
	})
}
