package upstreamhttp

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// maxSyncWriteBody is the size in bytes up to which a body is written before the
	// response is read: it fits in the socket buffers even if the upstream doesn't read.
	maxSyncWriteBody = 4 << 10
	// writeDoneTimeout is how long to wait, after the response was read, for the write of
	// a longer body to return.
	writeDoneTimeout = 20 * time.Millisecond
)

// Request is a request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as sent in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchResponse reports whether a response is to this request. Responses before it that
	// don't match are dropped. Nil matches any; the connection is then not reused after a failure.
	// A connection is not reused for a request that the last response on it matches too, since a
	// second copy of that may follow.
	MatchResponse func(header http.Header) bool
	// Retryable means that the request is idempotent, so that it may be sent on a
	// connection that was idle for longer.
	Retryable bool
	// NewWork means that the request must not reach an upstream that has stopped taking work.
	NewWork bool
}

// Response is the response to a request. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Close means that the upstream closes the connection after this response.
	Close bool
	// Reused means that the request was sent on a connection that served one before.
	Reused bool
}

// Error reports a request that got no response.
type Error struct {
	Endpoint Endpoint
	// MaybeSent means that the upstream may have received some of the request. False
	// guarantees that it has not.
	MaybeSent bool
	Err       error
}

// Error returns a message with the upstream, whether it may have received the request, and
// the cause.
func (e *Error) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("upstream %s may have received the request: %v", e.Endpoint.Addr, e.Err)
	}
	return fmt.Sprintf("upstream %s did not receive the request: %v", e.Endpoint.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errTakesNoWork reports a request that was not sent since its upstream has left.
var errTakesNoWork = errors.New("the upstream stopped taking work while the connection was opened")

// takesWork reports whether a peer still takes new work.
func (p *Pool) takesWork(peer Endpoint) bool { return p.cfg.TakesWork == nil || p.cfg.TakesWork(peer) }

// Do sends a request once and returns once the response header has arrived; the body is
// read as it arrives. The exchange is aborted when ctx ends, also while the body is read.
// An error is an *Error.
func (p *Pool) Do(ctx context.Context, endpoint Endpoint, req Request) (*Response, error) {
	c, err := p.acquire(ctx, endpoint, req)
	if err != nil {
		return nil, &Error{
			Endpoint: endpoint,
			Err:      err,
		}
	}
	reused := !c.idleSince.IsZero()
	if !reused && req.NewWork && !p.takesWork(endpoint) {
		c.close()
		return nil, &Error{
			Endpoint: endpoint,
			Err:      errTakesNoWork,
		}
	}
	x := &exchange{
		pool:      p,
		conn:      c,
		written:   make(chan error, 1),
		unmatched: req.MatchResponse == nil,
	}
	x.cancelAbort = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	if len(req.Body) <= maxSyncWriteBody {
		x.written <- x.write(req)
	} else {
		go func() { x.written <- x.write(req) }()
	}
	res, err := x.readHead(req)
	if err != nil {
		x.abort()
		if ctx.Err() != nil {
			err = context.Cause(ctx)
		}
		return nil, &Error{
			Endpoint:  endpoint,
			MaybeSent: true,
			Err:       err,
		}
	}
	return &Response{
		Status: res.StatusCode,
		Header: res.Header,
		Body:   x,
		Close:  res.Close,
		Reused: reused,
	}, nil
}

// exchange is one request on a connection, and the body of its response.
type exchange struct {
	pool *Pool
	conn *conn
	// cancelAbort keeps the end of the context from aborting the exchange. It reports false
	// if the context has ended already.
	cancelAbort func() bool
	written     chan error
	// unmatched reports that any response would be taken for the one to the request.
	unmatched bool
	res       *http.Response
	complete  bool
	once      sync.Once
}

// writers holds *bufio.Writer values, so that a request needs no buffer of its own.
var writers = sync.Pool{
	New: func() any { return bufio.NewWriter(nil) },
}

// write sends the complete request.
func (x *exchange) write(req Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(x.conn)
	defer func() {
		w.Reset(nil)
		writers.Put(w)
	}()
	fmt.Fprintf(w, "%s %s HTTP/1.1\r\nHost: %s\r\n", req.Method, req.Target, req.Host)
	if err := req.Header.Write(w); err != nil {
		return err
	}
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut {
		fmt.Fprintf(w, "Content-Length: %s\r\n", strconv.Itoa(len(req.Body)))
	}
	_, _ = w.WriteString("\r\n")
	_, _ = w.Write(req.Body)
	return w.Flush()
}

// readHead reads the header of the final response to req. It skips a limited number of
// responses to other requests.
func (x *exchange) readHead(req Request) (*http.Response, error) {
	mismatched := 0
	for {
		res, err := x.readFinalHead(req.Method)
		if err != nil {
			return nil, err
		}
		if req.MatchResponse == nil || req.MatchResponse(res.Header) {
			x.res = res
			x.conn.last = res.Header
			return res, nil
		}
		mismatched++
		if mismatched > maxMismatched {
			return nil, errMismatchedResponse
		}
		if _, err := io.CopyN(io.Discard, res.Body, maxMismatchedBytes); !errors.Is(err, io.EOF) {
			return nil, errMismatchedResponse
		}
	}
}

// readFinalHead reads the next header of a final response. It skips interim (1xx)
// responses, whose headers count towards the limit.
func (x *exchange) readFinalHead(method string) (*http.Response, error) {
	if err := x.conn.beginResponse(); err != nil {
		return nil, &HeadError{
			Addr: x.conn.endpoint.Addr,
			Err:  err,
		}
	}
	x.conn.limited.setLimit(maxHeadBytes)
	defer x.conn.limited.removeLimit()
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{
			Method: method,
		})
		if x.conn.limited.exceeded {
			return nil, &HeadTooLongError{
				Addr:  x.conn.endpoint.Addr,
				Limit: maxHeadBytes,
			}
		}
		if err != nil {
			return nil, &HeadError{
				Addr: x.conn.endpoint.Addr,
				Err:  err,
			}
		}
		if res.StatusCode >= http.StatusOK {
			return res, nil
		}
	}
}

const (
	// maxMismatched and maxMismatchedBytes bound how many responses to other requests are
	// skipped, and the body of each.
	maxMismatched      = 2
	maxMismatchedBytes = 1 << 20
)

var errMismatchedResponse = errors.New("the response is to another request")

// Read reads the body. The error is io.EOF only at the end of a complete body.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.res.Body.Read(b)
	if errors.Is(err, io.EOF) {
		x.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is released for reuse if the response was read
// to its end, the complete request was written, and no further bytes were received. A short
// rest of the body that has arrived, or is about to, is discarded first.
func (x *exchange) Close() error {
	x.once.Do(func() {
		if x.cancelAbort() && x.discardRest() && x.reusable() {
			x.pool.release(x.conn)
			return
		}
		x.conn.close()
	})
	return nil
}

const (
	// maxDiscardedBytes and discardTimeout bound how much of a body is discarded, and for
	// how long, to reuse its connection.
	maxDiscardedBytes = 64 << 10
	discardTimeout    = 20 * time.Millisecond
)

// discardRest reads the rest of the body and reports whether it is complete.
func (x *exchange) discardRest() bool {
	if x.complete || x.lastOnConnection() {
		return x.complete
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return false // The connection is closed.
	}
	_, _ = io.CopyN(io.Discard, x, maxDiscardedBytes) // The caller no longer needs the body.
	return x.complete && x.conn.SetReadDeadline(time.Time{}) == nil
}

// abort closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.cancelAbort()
		x.conn.close()
	})
}

// endsWithConnection reports whether the connection ends after the response, as it does
// after a body without a length and without chunks.
func (x *exchange) endsWithConnection() bool {
	return x.res.Close || x.res.ContentLength < 0 && len(x.res.TransferEncoding) == 0
}

// lastOnConnection reports whether the connection serves no request after this one. If nothing tells to which request a
// response is, a second copy of a failure would pass for the failure of the next request, and the response to that for the
// one to the request after it.
func (x *exchange) lastOnConnection() bool {
	return x.endsWithConnection() || x.unmatched && x.res.StatusCode >= http.StatusBadRequest
}

// reusable reports whether the connection may be reused after a complete response.
func (x *exchange) reusable() bool {
	if x.lastOnConnection() {
		return false
	}
	select {
	case err := <-x.written:
		if err != nil {
			return false
		}
	case <-time.After(writeDoneTimeout):
		return false // The response came before the request was written.
	}
	x.conn.updateIdleLimit(x.res.Header)
	return x.conn.reader.Buffered() == 0
}
