package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sequoiafork/internal/wire/platformapi"
)

// logService is an in-memory log service that counts its reads and the bytes of its
// connections.
type logService struct {
	addr    string
	server  *http.Server
	in, out atomic.Int64
	reads   atomic.Int64

	mu      sync.Mutex
	records []platformapi.LogRecord
	changed chan struct{}
}

func startLogService() (*logService, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &logService{
		addr:    lis.Addr().String(),
		changed: make(chan struct{}),
	}
	l.server = &http.Server{
		Handler: http.HandlerFunc(l.read),
	}
	go func() {
		_ = l.server.Serve(&countingListener{
			Listener: lis,
			log:      l,
		})
	}()
	return l, nil
}

// add appends a record and returns its offset. The first offset is 1.
func (l *logService) add(data []byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := int64(len(l.records)) + 1
	l.records = append(l.records, platformapi.LogRecord{
		Offset: offset,
		TimeMs: time.Now().UnixMilli(),
		Data:   data,
	})
	close(l.changed)
	l.changed = make(chan struct{})
	return uint64(offset)
}

// read handles a read of the log. If there are no records yet, it waits for one as long
// as the request allows.
func (l *logService) read(w http.ResponseWriter, r *http.Request) {
	l.reads.Add(1)
	from, _ := strconv.Atoi(r.FormValue("from"))
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	l.mu.Lock()
	changed, empty := l.changed, from > len(l.records)
	l.mu.Unlock()
	if empty && wait > 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	data, err := l.from(from).MarshalJSON()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (l *logService) from(offset int) *platformapi.ReadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	result := &platformapi.ReadResult{
		Records:     []platformapi.LogRecord{},
		FirstOffset: 1,
		EndOffset:   int64(len(l.records)) + 1,
	}
	if offset >= 1 && offset <= len(l.records) {
		result.Records = append(result.Records, l.records[offset-1:]...)
	}
	return result
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	log *logService
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{
		Conn: c,
		log:  l.log,
	}, nil
}

type countingConn struct {
	net.Conn
	log *logService
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.log.in.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.log.out.Add(int64(n))
	return n, err
}
