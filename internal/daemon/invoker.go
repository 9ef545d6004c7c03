package daemon

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"sequoiafork/internal/panics"
	"sequoiafork/internal/pipeline"
)

// containedInvoker is an Invoker whose calls fail if they panic, such as on a response that they can't decode. The
// calls run in goroutines of their own, where a panic would end the process.
type containedInvoker struct {
	invoker pipeline.Invoker
	logger  *zap.Logger
}

// Invoke implements pipeline.Invoker.
func (c containedInvoker) Invoke(ctx context.Context, call pipeline.Call) (pipeline.Reply, error) {
	reply, err := panics.Value(c.logger, "invoke", func() (pipeline.Reply, error) { return c.invoker.Invoke(ctx, call) })
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		return pipeline.Reply{}, &pipeline.CallError{
			Addr:      call.Addr,
			Execution: pipeline.MayHaveRun,
			Err:       panicked,
		}
	}
	return reply, err
}
