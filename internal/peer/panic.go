package peer

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"sequoiafork/internal/panics"
)

// containUnary fails a call whose handler panics. The gRPC server itself would end the process.
func (n *Node) containUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
	resp, err := panics.Value(n.cfg.Logger, info.FullMethod, func() (any, error) { return handle(ctx, req) })
	return resp, panicStatus(err)
}

// containStream is containUnary for streams.
func (n *Node) containStream(server any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) error {
	return panicStatus(panics.Call(n.cfg.Logger, info.FullMethod, func() error { return handle(server, stream) }))
}

// panicStatus converts a *panics.Error to a status and returns any other error as it is.
func panicStatus(err error) error {
	var panicked *panics.Error
	if errors.As(err, &panicked) {
		return status.Error(codes.Internal, panicked.Error())
	}
	return err
}
