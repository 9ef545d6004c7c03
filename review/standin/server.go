package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of requests and answers.
const (
	headerID       = "X-Sequoiafork-Request-Id"
	headerStamp    = "X-Sequoiafork-Server-Stamp"
	headerExpect   = "X-Sequoiafork-Expect-Instance"
	headerInstance = "X-Sequoiafork-Instance"
	headerNotRun   = "X-Sequoiafork-Not-Run"
	headerDeadline = "X-Sequoiafork-Deadline-Ms"
	headerTenant   = "X-Sequoiafork-Tenant"
	headerInputs   = "X-Sequoiafork-Inputs"
	headerPieces   = "X-Sequoiafork-Pieces"
	headerPieceKey = "X-Sequoiafork-Piece-Key"
	headerLoad     = "X-Sequoiafork-Load"
	headerKey      = "Api-Key"
)

// answer is the complete answer to a request.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// bytes returns the answer as it is sent.
func (a answer) bytes() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status))
	h := a.header.Clone()
	if h == nil {
		h = make(http.Header)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	_ = h.Write(&b)
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// server is a server of a service. It serves one request at a time on a connection.
type server struct {
	service string
	zone    string
	id      string
	addr    string
	born    int64
	// handle returns the answer to a request that is meant for this server.
	handle func(r *http.Request, body []byte) answer
	// repeat reports whether a second copy of an answer is sent where the next answer on its connection is expected.
	// Nil means that there are none.
	repeat func(r *http.Request, a answer) bool
	// closeEvery is the number of answers of which one ends its connection. Zero means none.
	closeEvery int64
	answered   atomic.Int64
	// repeated is called when the copy is sent, since the request r arrives. It may be nil.
	repeated func(r *http.Request)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	// crashes counts how often the server has crashed.
	crashes int
}

// start starts the server, on a free port the first time and on the same later.
func (s *server) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	s.born = time.Now().UnixMilli()
	s.listener = l
	s.conns = make(map[net.Conn]bool)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

// crash ends the server and resets its connections.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes++
	_ = s.listener.Close()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// crashCount returns how often the server has crashed.
func (s *server) crashCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// register writes the entry of the server into the store.
func (s *server) register(st *store, state string) {
	st.put(topicServers, s.id, []byte(fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":16,"state":%q,"cold-left-ms":0,"seq":1,"born":%d}`,
		s.service, s.addr, s.zone, state, s.born)))
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
	reader := bufio.NewReader(c)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if late != nil {
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
			if s.repeated != nil {
				s.repeated(r)
			}
		}
		a := s.answer(r, body)
		last := s.closeEvery > 0 && s.answered.Add(1)%s.closeEvery == 0
		if last {
			a.header.Set("Connection", "close")
		}
		if _, err := c.Write(a.bytes()); err != nil {
			return
		}
		if last {
			return
		}
		if s.repeat != nil && s.repeat(r, a) {
			late = a.bytes()
		}
	}
}

func (s *server) answer(r *http.Request, body []byte) answer {
	if expected := r.Header.Get(headerExpect); expected != "" && expected != s.id {
		return answer{
			status: http.StatusMisdirectedRequest,
			header: http.Header{
				headerInstance: {s.id},
			},
		}
	}
	a := s.handle(r, body)
	if a.header == nil {
		a.header = make(http.Header)
	}
	if id := r.Header.Get(headerID); id != "" {
		a.header.Set(headerID, id)
	}
	return a
}

// slots bounds the calls in progress at a server, and those that wait.
type slots struct {
	running chan struct{}
	queue   chan struct{}
}

func newSlots(running, queue int) *slots {
	return &slots{
		running: make(chan struct{}, running),
		queue:   make(chan struct{}, running+queue),
	}
}

// load returns the load that a server reports: the calls that run, those that wait and the slots.
func (s *slots) load() string {
	running := len(s.running)
	return fmt.Sprintf("%d,%d,%d", running, max(len(s.queue)-running, 0), cap(s.running))
}

// take waits for a slot. It reports false if the server is full.
func (s *slots) take() bool {
	select {
	case s.queue <- struct{}{}:
	default:
		return false
	}
	s.running <- struct{}{}
	return true
}

func (s *slots) release() {
	<-s.running
	<-s.queue
}

// record is the file that says what was sent, answered and run.
type record struct {
	began time.Time

	mu sync.Mutex
	w  io.Writer
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}
