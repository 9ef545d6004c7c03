//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// engine is a model server.
type engine struct {
	world   *world
	results *results
	id      string
	zone    string
	addr    string
	running atomic.Int64
	seq     int
}

func (w *world) newEngine(r *results, zone string, n int) *engine {
	l, err := net.Listen("tcp", net.JoinHostPort(fmt.Sprintf("127.1.2.%d", n+1), "0"))
	if err != nil {
		cannotRun(err)
	}
	e := &engine{
		world:   w,
		results: r,
		id:      "i-" + newID()[:8],
		zone:    zone,
		addr:    l.Addr().String(),
	}
	go func() { _ = http.Serve(l, e) }()
	return e
}

func (e *engine) register() {
	e.seq++
	e.world.put("keyed.servers", e.id, map[string]any{
		"service": "sequoia-pool", "address": e.addr, "zone": e.zone, "version": "1", "slots": 128,
		"state": "ready", "cold-left-ms": 0, "seq": e.seq,
	})
}

// ServeHTTP runs a request whose response is a stream.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Sequoiafork-Request-Id")
	h := w.Header()
	h.Set("X-Sequoiafork-Instance", e.id)
	h.Set("X-Sequoiafork-Request-Id", id)
	if r.Header.Get("X-Sequoiafork-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Sequoiafork-Load", fmt.Sprintf("%d,0,128", e.running.Load()))
	refuse := func(status int) {
		h.Set("X-Sequoiafork-Not-Run", "1")
		w.WriteHeader(status)
	}
	inputs := r.Header.Get("X-Sequoiafork-Inputs")
	if inputs == "" && strings.Contains(r.Header.Get("X-Sequoiafork-Pieces"), "1") {
		refuse(http.StatusBadRequest)
		return
	}
	for _, in := range strings.Split(inputs, ",") {
		if in == "" {
			continue
		}
		of, ok := e.results.fetch(in)
		if !ok {
			if of != id {
				e.world.rec.add("%s is given the input %s of %s for %s, which is gone", e.id, in, of, id)
			}
			refuse(http.StatusConflict)
			return
		}
		if of != id {
			e.world.rec.violate("MIXED: %s is given the input %s for request %s, which is a result of request %s", e.id, in, id, of)
		}
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.world.rec.add("%s runs %s with inputs %s", e.id, id, inputs)
	h.Set("X-Sequoiafork-Server-Stamp", "s."+e.id)
	h.Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush := http.NewResponseController(w).Flush
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	time.Sleep(120 * time.Millisecond)
	const events = 8
	for n := after + 1; n <= events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", n, n, id)
		if flush() != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}
