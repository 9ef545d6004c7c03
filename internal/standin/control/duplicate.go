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

// duplicateWait is how long a duplicate answer waits for a call to take the
// place of.
const duplicateTimeout = 300 * time.Millisecond

// buffer is a response writer that keeps the answer.
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

// Header returns the header of the answer.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader keeps the status.
func (b *responseBuffer) WriteHeader(status int) { b.status = status }

// Write keeps a part of the body.
func (b *responseBuffer) Write(p []byte) (int, error) { return b.body.Write(p) }

// Flush does nothing.
func (b *responseBuffer) Flush() {}

// answerTwice runs the call once and sends its answer twice on the connection:
// the second in place of the answer to the next call, which is not run.
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

func discardRequest(r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
}
