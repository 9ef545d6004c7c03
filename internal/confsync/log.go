package confsync

import (
	"context"
	"time"

	"sequoiafork/internal/logservice"
	"sequoiafork/internal/wire/peerpb"
)

// Log is the platform's log. *logservice.Client implements it; implementations return
// the errors of that package.
type Log interface {
	Append(ctx context.Context, data []byte) (uint64, error)
	AppendEdit(ctx context.Context, data []byte) (uint64, error)
	Read(ctx context.Context, from uint64, maxRecords int, wait time.Duration) (logservice.Batch, error)
}

// Peers requests the records from an offset on from the peer that has applied the most.
type Peers interface {
	CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error)
}
