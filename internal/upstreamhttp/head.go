package upstreamhttp

import (
	"errors"
	"fmt"
	"io"
)

// maxHeadBytes bounds the status line and the header fields of a response, together with
// those of the interim responses before it.
const maxHeadBytes = 16 << 10

// HeadTooLongError reports a response whose status line and header fields are too long.
type HeadTooLongError struct {
	Addr string
	// Limit is the maximum length in bytes.
	Limit int64
}

// Error returns the upstream and the limit.
func (e *HeadTooLongError) Error() string {
	return fmt.Sprintf("read response head of %s: more than %d bytes", e.Addr, e.Limit)
}

// maxReasonBytes bounds what a HeadError says of its cause, which may quote what was read.
const maxReasonBytes = 160

// HeadError reports a response whose status line and header fields could not be read.
type HeadError struct {
	Addr string
	Err  error
}

// Error returns the upstream and the cause, of which the start if it is long.
func (e *HeadError) Error() string {
	reason := e.Err.Error()
	if len(reason) > maxReasonBytes {
		reason = reason[:maxReasonBytes] + " (truncated)"
	}
	return fmt.Sprintf("read response head of %s: %s", e.Addr, reason)
}

// Unwrap returns the cause.
func (e *HeadError) Unwrap() error { return e.Err }

// errReadLimit reports that a limitedReader has read as many bytes as it may.
var errReadLimit = errors.New("read limit exceeded")

// limitedReader reads from r and, while a limit is set, at most as many bytes as that.
type limitedReader struct {
	r         io.Reader
	limited   bool
	remaining int64
	// exceeded reports that more than the limit was to be read.
	exceeded bool
}

// setLimit bounds the bytes that are read from now on.
func (l *limitedReader) setLimit(limit int64) {
	l.limited = true
	l.remaining = limit
}

func (l *limitedReader) removeLimit() { l.limited = false }

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.remaining <= 0 {
		l.exceeded = true
		return 0, errReadLimit
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.remaining)])
	l.remaining -= int64(n)
	return n, err
}
