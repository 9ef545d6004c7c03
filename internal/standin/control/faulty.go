package control

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"strings"
	"time"
)

// injectFaults serves next with the transport faults in effect.
func (c *Control) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		faults := c.Faults.Current()
		if faults.Reset.Or(false) {
			closeConnection(w, true)
			return
		}
		if faults.Hang.Or(false) {
			c.hang(r.Context())
			closeConnection(w, false)
			return
		}
		if !c.delay(r, milliseconds(faults.DelayMs)) {
			return
		}
		if c.Faults.Current().Down.Or(false) {
			respondUnavailable(w)
			return
		}
		if hasSideEffect(r) && c.Faults.TakeLostReply() {
			next.ServeHTTP(newResponseBuffer(), r)
			closeConnection(w, false)
			return
		}
		if hasSideEffect(r) && c.Faults.TakeDuplicateAnswer() {
			respondTwice(w, r, next)
			return
		}
		if n := int(faults.CutAfterBytes.Or(0)); n > 0 {
			next.ServeHTTP(newCutWriter(w, n, faults.CutCleanly.Or(false)), r)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// delay waits for d and reports whether the call is to be run. A call with a side
// effect is run even if its caller disconnects, so that the effect occurs late.
func (c *Control) delay(r *http.Request, d time.Duration) bool {
	ctx := r.Context()
	if hasSideEffect(r) {
		ctx = context.WithoutCancel(ctx)
	}
	return sleep(ctx, d)
}

// hang blocks until the caller disconnects or the fault is removed.
func (c *Control) hang(ctx context.Context) {
	for {
		changed := c.Faults.Changed()
		if !c.Faults.Current().Hang.Or(false) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// hasSideEffect reports whether the call has a side effect, which can occur even if
// the response is lost.
func hasSideEffect(r *http.Request) bool {
	return r.Method == http.MethodPost && !strings.HasSuffix(r.URL.Path, "/cancel")
}

func respondUnavailable(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = w.Write([]byte(`{"code":"unavailable","message":"the stand-in is down","ran":false}`))
}

// closeConnection closes the connection of w without a response. With reset, it
// sends a TCP reset and discards unsent data.
func closeConnection(w http.ResponseWriter, reset bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// sleep waits for d and returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// cutWriter truncates a response body after a number of bytes. It then aborts the
// connection, or with cleanly ends the body as if it were complete.
type cutWriter struct {
	http.ResponseWriter

	remaining int
	cleanly   bool
}

func newCutWriter(w http.ResponseWriter, remaining int, cleanly bool) *cutWriter {
	return &cutWriter{
		ResponseWriter: w,
		remaining:      remaining,
		cleanly:        cleanly,
	}
}

// WriteHeader removes Content-Length, which a truncated body would not match.
func (w *cutWriter) WriteHeader(status int) {
	w.Header().Del("Content-Length")
	w.ResponseWriter.WriteHeader(status)
}

// Write forwards up to the remaining number of bytes.
func (w *cutWriter) Write(p []byte) (int, error) {
	if len(p) <= w.remaining {
		w.remaining -= len(p)
		return w.ResponseWriter.Write(p)
	}
	_, _ = w.ResponseWriter.Write(bytes.Clone(p[:w.remaining]))
	w.remaining = 0
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	if !w.cleanly {
		panic(http.ErrAbortHandler)
	}
	return len(p), nil
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *cutWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
