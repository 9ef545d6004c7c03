package stagework

import (
	"context"

	"go.uber.org/zap"

	"sequoiafork/internal/panics"
)

// containedInvoker is an Invoker whose calls fail if they panic, such as on a response that they can't decode. The
// calls run in goroutines of the scheduler, where a panic would end the process.
type containedInvoker struct {
	invoker Invoker
	logger  *zap.Logger
}

// Run implements Invoker.
func (c containedInvoker) Run(ctx context.Context, u Upstream, items []Item) ([]ItemResult, error) {
	return panics.Value(c.logger, "stage_call", func() ([]ItemResult, error) { return c.invoker.Run(ctx, u, items) })
}

// Free implements Invoker.
func (c containedInvoker) Free(ctx context.Context, u Upstream, handles []string) error {
	return panics.Call(c.logger, "stage_free", func() error { return c.invoker.Free(ctx, u, handles) })
}

// FreeMemory implements Invoker.
func (c containedInvoker) FreeMemory(ctx context.Context, u Upstream) (int64, error) {
	return panics.Value(c.logger, "stage_report", func() (int64, error) { return c.invoker.FreeMemory(ctx, u) })
}
