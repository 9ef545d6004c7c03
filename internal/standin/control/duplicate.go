package control

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// duplicateTimeout is how long a duplicate response waits for the next request on
// its connection.
const duplicateTimeout = 300 * time.Millisecond

// responseBuffer is a response writer that buffers the response.
type responseBuffer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func newResponseBuffer() *responseBuffer {
	return &responseBuffer{
		header: make(http.Header),
		status: http.StatusOK,
	}
}

// Header returns the header of the response.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader stores the status code.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// Flush does nothing.
func (b *responseBuffer) Flush() {}

// respondTwice runs the call once and sends its response twice on the connection:
// the second copy takes the place of the response to the next call, which is not
// run.
func respondTwice(w http.ResponseWriter, r *http.Request, next http.Handler) {
	response := newResponseBuffer()
	next.ServeHTTP(response, r)
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close()
	if response.send(conn) != nil {
		return
	}
	_ = conn.SetReadDeadline(time.Now().Add(duplicateTimeout))
	discardRequest(rw.Reader)
	_ = response.send(conn)
}

func (b *responseBuffer) send(conn net.Conn) error {
	b.header.Set("Content-Length", strconv.Itoa(b.body.Len()))
	response := &http.Response{
		StatusCode:    b.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        b.header,
		ContentLength: int64(b.body.Len()),
		Body:          io.NopCloser(bytes.NewReader(b.body.Bytes())),
	}
	return response.Write(conn)
}

// discardRequest reads one request and ignores it. It returns early when the read
// deadline of the connection passes.
func discardRequest(r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
}
