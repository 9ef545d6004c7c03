// Package weightstore simulates the platform's rate-limited weight store.
package weightstore

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"golang.org/x/time/rate"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
)

// Defaults of a Config.
const (
	DefaultFetchesPerSecond = 2
	DefaultServiceTime      = 50 * time.Millisecond
	weightBytes             = 1 << 30 // Reported size of every model's weights.
)

// Config holds the settings of a Store.
type Config struct {
	// Control supplies the injected faults and the ledger; it is required.
	Control *control.Control
	// FetchesPerSecond is the rate limit, DefaultFetchesPerSecond when zero.
	FetchesPerSecond float64
	// ServiceTime is the duration of a fetch, DefaultServiceTime when zero.
	ServiceTime time.Duration
}

// Store serves simulated weights. It is safe for concurrent use.
type Store struct {
	unserved.Platform

	control     *control.Control
	limiter     *rate.Limiter
	serviceTime time.Duration
}

var _ platformapi.Handler = (*Store)(nil)

// New returns a Store.
func New(c Config) *Store {
	c.FetchesPerSecond = cmp.Or(c.FetchesPerSecond, DefaultFetchesPerSecond)
	c.ServiceTime = cmp.Or(c.ServiceTime, DefaultServiceTime)
	return &Store{
		control:     c.Control,
		limiter:     rate.NewLimiter(rate.Limit(c.FetchesPerSecond), 1),
		serviceTime: c.ServiceTime,
	}
}

// FetchWeights simulates the download of a model's weights: it returns their size
// after the service time.
func (s *Store) FetchWeights(ctx context.Context, params platformapi.FetchWeightsParams) (*platformapi.Weights, error) {
	if !s.limiter.Allow() {
		return nil, unserved.PlatformError(http.StatusTooManyRequests, "rate_limited", "too many fetches a second")
	}
	execution := s.control.Ledger.Begin(standinapi.Entry{
		Stage: "fetch",
		Input: params.Model,
	})
	select {
	case <-ctx.Done():
		execution.Abandon()
		return nil, ctx.Err()
	case <-time.After(s.control.Faults.Slow(s.serviceTime)):
	}
	execution.Complete("")
	return &platformapi.Weights{
		Model: params.Model,
		Bytes: weightBytes,
	}, nil
}
