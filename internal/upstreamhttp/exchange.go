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
	// shortBody is the size up to which a body is written before the answer is read: it
	// fits in what a connection takes without being read.
	maxSyncWriteBody = 4 << 10
	// writeSettle is how long the end of a longer write may be told after the answer.
	writeDoneTimeout = 20 * time.Millisecond
)

// Request is one request to an upstream.
type Request struct {
	Method string
	// Target is the path and query as they stand in the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// MatchResponse reports whether an answer is to this request. Others that arrive before
	// it are dropped. Nil means any.
	MatchResponse func(header http.Header) bool
	// Repeatable says that the request may run again, so that a connection that was
	// idle for longer may take it.
	Repeatable bool
}

// Response is the answer to a request. Body must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// Close says that the upstream closes the connection after this answer.
	Close bool
	// Reused says that the request went over a kept connection.
	Reused bool
}

// Error is an exchange that gave no answer.
type Error struct {
	Endpoint Endpoint
	// MaybeSent says that the upstream may have got some of the request. False is a
	// promise that it did not.
	MaybeSent bool
	Err       error
}

// Error says which upstream failed, whether it may have the request, and why.
func (e *Error) Error() string {
	if e.MaybeSent {
		return fmt.Sprintf("upstream %s may have the request: %v", e.Endpoint.Addr, e.Err)
	}
	return fmt.Sprintf("upstream %s did not get the request: %v", e.Endpoint.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do sends a request once and returns the head of the answer; the body follows as it
// arrives. The exchange is broken off when ctx ends, also during the body. An error
// is an *Error.
func (p *Pool) Do(ctx context.Context, peer Endpoint, req Request) (*Response, error) {
	c, err := p.acquire(ctx, peer, req.Repeatable)
	if err != nil {
		return nil, &Error{
			Endpoint: peer,
			Err:      err,
		}
	}
	reused := !c.idleSince.IsZero()
	x := &exchange{
		pool:    p,
		conn:    c,
		written: make(chan error, 1),
	}
	x.stop = context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
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
			Endpoint:  peer,
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

// exchange is one request on a connection, and the body of its answer.
type exchange struct {
	pool     *Pool
	conn     *conn
	stop     func() bool
	written  chan error
	res      *http.Response
	complete bool
	once     sync.Once
}

// write sends the whole request.
func (x *exchange) write(req Request) error {
	w := bufio.NewWriter(x.conn)
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

// readHead reads the final head of the answer.
func (x *exchange) readHead(req Request) (*http.Response, error) {
	mismatched := 0
	for {
		res, err := http.ReadResponse(x.conn.reader, &http.Request{
			Method: req.Method,
		})
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if req.MatchResponse == nil || req.MatchResponse(res.Header) {
			x.res = res
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

const (
	// maxStrays and maxStrayBytes bound the answers to other requests that are read.
	maxMismatched      = 2
	maxMismatchedBytes = 1 << 20
)

var errMismatchedResponse = errors.New("the answer is to another request")

// Read reads the body. The error is io.EOF only at the end of a whole body.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.res.Body.Read(b)
	if errors.Is(err, io.EOF) {
		x.complete = true
	}
	return n, err
}

// Close ends the exchange. The connection is kept if the answer was read to its end,
// the whole request was written, and nothing else waits on the connection.
func (x *exchange) Close() error {
	x.once.Do(func() {
		if x.reusable() {
			x.pool.release(x.conn)
			return
		}
		x.conn.close()
	})
	return nil
}

func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.close()
	})
}

func (x *exchange) reusable() bool {
	if !x.stop() || !x.complete || x.res.Close || x.res.ContentLength < 0 && len(x.res.TransferEncoding) == 0 {
		return false
	}
	select {
	case err := <-x.written:
		if err != nil {
			return false
		}
	case <-time.After(writeDoneTimeout):
		return false // The answer came before the request was written.
	}
	x.conn.updateIdleLimit(x.res.Header)
	return x.conn.reader.Buffered() == 0
}
