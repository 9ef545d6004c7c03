package completion

import (
	"context"
	"errors"
	"fmt"

	"sequoiafork/internal/invoke"
	"sequoiafork/internal/wire/upstreamapi"
)

// FencedError reports a model assignment that an engine rejected because it has accepted
// one with a higher fencing token.
type FencedError struct {
	Addr         string
	FencingToken uint64
}

// Error returns the engine's address and the rejected fencing token.
func (e *FencedError) Error() string {
	return fmt.Sprintf("engine %s rejected a model assignment: fencing token %d is out of date", e.Addr, e.FencingToken)
}

// Models returns the models that the engine at addr has loaded.
func (c *Client) Models(ctx context.Context, addr string) ([]string, error) {
	state, err := c.api.ShowState(ctx, upstreamapi.WithServerURL(invoke.BaseURL(addr)))
	if err != nil {
		return nil, fmt.Errorf("get state of engine %s: %w", addr, err)
	}
	return state.Models, nil
}

// SetModels sets the models that the engine at addr has loaded, and returns once they are
// loaded. The error is a *FencedError if the engine has accepted a higher fencing token. The
// holder is the incarnation that holds the lease of the token.
func (c *Client) SetModels(ctx context.Context, addr string, models []string, fencingToken uint64, holder string) error {
	_, err := c.api.OrderState(ctx, &upstreamapi.EngineOrder{
		Models:  models,
		Fencing: int64(fencingToken),
		Holder:  upstreamapi.NewOptString(holder),
	}, upstreamapi.WithServerURL(invoke.BaseURL(addr)))
	var status *upstreamapi.ErrorStatusCode
	if errors.As(err, &status) && status.Response.Code == "fenced" {
		return &FencedError{
			Addr:         addr,
			FencingToken: fencingToken,
		}
	}
	if err != nil {
		return fmt.Errorf("assign models to engine %s: %w", addr, err)
	}
	return nil
}
