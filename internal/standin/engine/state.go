package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
	"sequoiafork/internal/wire/upstreamapi"
)

// fetchRetryInterval is the interval between attempts to fetch weights.
const fetchRetryInterval = 200 * time.Millisecond

// ShowLoad returns the last load sample.
func (e *Engine) ShowLoad(context.Context) (*upstreamapi.Load, error) {
	load := e.currentLoad()
	if e.control.Faults.Current().LeavingInLoad.Or(false) {
		load.Leaving = upstreamapi.NewOptBool(true)
	}
	return &load, nil
}

func (e *Engine) currentLoad() upstreamapi.Load {
	load := e.report.Load(e.control.Faults.Lag(), func() upstreamapi.Load {
		e.mu.Lock()
		defer e.mu.Unlock()
		return upstreamapi.Load{
			InFlight: len(e.batch),
			Queued:   len(e.queue),
			Capacity: e.capacity,
		}
	})
	if e.control.Faults.Current().Leaving.Or(false) {
		load.Leaving = upstreamapi.NewOptBool(true)
	}
	return load
}

// ListCacheEvents returns cache events, delayed by the injected lag and without
// the dropped ones.
func (e *Engine) ListCacheEvents(_ context.Context, params upstreamapi.ListCacheEventsParams) (*upstreamapi.CacheEvents, error) {
	lag := e.control.Faults.Lag()
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cache.events.since(params.Since, lag), nil
}

// ShowState returns the models that are loaded.
func (e *Engine) ShowState(context.Context) (*upstreamapi.EngineState, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state(), nil
}

func (e *Engine) state() *upstreamapi.EngineState {
	models := slices.Clone(e.models)
	if models == nil {
		models = []string{}
	}
	return &upstreamapi.EngineState{
		Models:  models,
		Role:    upstreamapi.NewOptString(e.role),
		Fencing: e.fencing,
	}
}

// OrderState replaces the loaded models by those of the order, fetching the
// weights of the missing ones first. It checks the fencing token again after
// that, because a newer order may have arrived meanwhile.
func (e *Engine) OrderState(ctx context.Context, order *upstreamapi.EngineOrder) (*upstreamapi.EngineState, error) {
	missing, err := e.accept(order)
	if err != nil {
		return nil, err
	}
	execution := e.control.Ledger.Begin(standinapi.Entry{
		RequestID: order.Holder.Or(""),
		Stage:     "order",
		Input:     strings.Join(order.Models, ","),
		Fencing:   standinapi.NewOptInt64(order.Fencing),
	})
	for _, model := range missing {
		if err := e.fetch(ctx, model); err != nil {
			execution.Abandon()
			return nil, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(order.Fencing); err != nil {
		execution.Abandon()
		return nil, err
	}
	e.models = slices.Clone(order.Models)
	e.role = order.Role.Or(e.role)
	execution.Complete(strings.Join(e.models, ","))
	return e.state(), nil
}

// accept checks and stores the fencing token of an order and returns the models
// that have to be loaded.
func (e *Engine) accept(order *upstreamapi.EngineOrder) ([]string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.checkFencing(order.Fencing); err != nil {
		return nil, err
	}
	e.fencing = order.Fencing
	var missing []string
	for _, model := range order.Models {
		if !slices.Contains(e.models, model) {
			missing = append(missing, model)
		}
	}
	return missing, nil
}

func (e *Engine) checkFencing(fencing int64) error {
	if !e.checksFencing || fencing >= e.fencing {
		return nil
	}
	return unserved.UpstreamError(http.StatusConflict, "fenced", fmt.Sprintf("fencing: %d is older than %d", fencing, e.fencing))
}

// fetch loads the weights of a model. It retries on every error, including the
// store's rate limit, until ctx ends.
func (e *Engine) fetch(ctx context.Context, model string) error {
	if e.weights == nil {
		return nil
	}
	for {
		_, err := e.weights.FetchWeights(ctx, platformapi.FetchWeightsParams{
			Model: model,
		})
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("fetch weights of %q: %w", model, err)
		case <-time.After(fetchRetryInterval):
		}
	}
}
