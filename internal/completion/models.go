package completion

import (
	"context"
	"errors"
	"fmt"

	"sequoiafork/internal/invoke"
	"sequoiafork/internal/wire/upstreamapi"
)

// FencedError is an order that an engine refused because it has taken one with a
// higher fencing number.
type FencedError struct {
	Addr         string
	FencingToken uint64
}

// Error implements error.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s refused an order with fencing number %d as old", e.Addr, e.FencingToken)
}

// Models returns the models that the engine at addr holds.
func (c *Client) Models(ctx context.Context, addr string) ([]string, error) {
	state, err := c.api.ShowState(ctx, upstreamapi.WithServerURL(invoke.BaseURL(addr)))
	if err != nil {
		return nil, fmt.Errorf("reading the state of engine %s: %w", addr, err)
	}
	return state.Models, nil
}

// SetModels sets the models that the engine at addr holds, and returns once it holds
// them. The error is a *FencedError if the fencing number is old.
func (c *Client) SetModels(ctx context.Context, addr string, models []string, fencing uint64, holder string) error {
	_, err := c.api.OrderState(ctx, &upstreamapi.EngineOrder{
		Models:  models,
		Fencing: int64(fencing),
		Holder:  upstreamapi.NewOptString(holder),
	}, upstreamapi.WithServerURL(invoke.BaseURL(addr)))
	var status *upstreamapi.ErrorStatusCode
	if errors.As(err, &status) && status.Response.Code == "fenced" {
		return &FencedError{
			Addr:         addr,
			FencingToken: fencing,
		}
	}
	if err != nil {
		return fmt.Errorf("ordering models to engine %s: %w", addr, err)
	}
	return nil
}
