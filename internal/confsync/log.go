package confsync

import (
	"context"
	"time"

	"sequoiafork/internal/logservice"
	"sequoiafork/internal/wire/peerpb"
)

// Log is the platform's log. *logservice.Client implements it; the errors are those
// of that package.
type Log interface {
	Append(ctx context.Context, data []byte) (uint64, error)
	AppendEdit(ctx context.Context, data []byte) (uint64, error)
	Read(ctx context.Context, from uint64, maxRecords int, wait time.Duration) (logservice.Batch, error)
}

// Peers asks the peer that has folded the most for what it has from an offset on.
type Peers interface {
	CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error)
}
