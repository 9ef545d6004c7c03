package peer

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

const (
	// minRetryDelay and maxRetryDelay bound the delay before a transparent retry. It doubles with each retry of a
	// call.
	minRetryDelay = time.Millisecond
	maxRetryDelay = 50 * time.Millisecond
	// loggedRetry is the retry of a call that is logged. An ordinary reset is over before it.
	loggedRetry = 5
)

var transparentRetriesTotal = metrics.GetOrCreateCounter("sequoiafork_peer_transparent_retries_total")

// retryPacer delays the transparent retries of calls. The gRPC client repeats a call that was not sent without a
// limit and without a delay, also with grpc.WithDisableRetry. While a connection has failed and still counts as
// ready, the call would otherwise occupy a core until the goroutine that marks the connection as closed has run. A
// retryPacer is safe for concurrent use.
type retryPacer struct {
	logger *zap.Logger
}

// callRetries counts the transparent retries of one call. The gRPC client begins the attempts of a call one after
// the other, with the lock of the call.
type callRetries struct {
	count int
}

type callRetriesKey struct{}

// withRetries returns the context of a call whose transparent retries are delayed.
func withRetries(ctx context.Context) context.Context {
	return context.WithValue(ctx, callRetriesKey{}, &callRetries{})
}

// options returns the options of a connection whose calls are delayed.
func (p retryPacer) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithStatsHandler(p),
		grpc.WithChainUnaryInterceptor(paceUnary),
		grpc.WithChainStreamInterceptor(paceStream),
	}
}

func paceUnary(ctx context.Context, method string, req, reply any, conn *grpc.ClientConn, do grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	return do(withRetries(ctx), method, req, reply, conn, opts...)
}

func paceStream(ctx context.Context, desc *grpc.StreamDesc, conn *grpc.ClientConn, method string, open grpc.Streamer, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	return open(withRetries(ctx), desc, conn, method, opts...)
}

// HandleRPC implements stats.Handler. It returns when the attempt that begins may be made, or when the context of
// the call is done, after which the client makes no further attempt.
func (p retryPacer) HandleRPC(ctx context.Context, event stats.RPCStats) {
	begin, ok := event.(*stats.Begin)
	if !ok || !begin.IsTransparentRetryAttempt {
		return
	}
	retries, ok := ctx.Value(callRetriesKey{}).(*callRetries)
	if !ok {
		return
	}
	retries.count++
	transparentRetriesTotal.Inc()
	if retries.count == loggedRetry {
		p.logger.Info("connection to a peer has failed and still counts as ready", zap.Int("retries", retries.count))
	}
	await(ctx, retryDelay(retries.count))
}

// retryDelay returns the delay before a retry. The first one has number 1.
func retryDelay(number int) time.Duration {
	const maxDoublings = 6 // maxRetryDelay is reached earlier.
	return min(minRetryDelay<<min(number-1, maxDoublings), maxRetryDelay)
}

// await waits for d or until ctx is done.
func await(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// TagRPC implements stats.Handler.
func (retryPacer) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// TagConn implements stats.Handler.
func (retryPacer) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (retryPacer) HandleConn(context.Context, stats.ConnStats) {}
