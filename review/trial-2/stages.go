//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// result is a stage result that a server holds.
type result struct {
	request      string
	stage, piece int
	bytes        int64
	until        time.Time
	holder       *stageServer
}

// results are all stage results of the deployment. made keeps whose result a handle named.
type results struct {
	mu   sync.Mutex
	held map[string]*result
	made map[string]string
}

// fetch returns the request of a result, and false if it no longer exists.
func (r *results) fetch(handle string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held, ok := r.held[handle]
	if !ok || time.Now().After(held.until) {
		delete(r.held, handle)
		return r.made[handle], false
	}
	return held.request, true
}

// stageSpec is what the manifest says of a service that runs stages.
type stageSpec struct {
	service string
	batch   int
	call    time.Duration
	item    time.Duration
	room    int64
	handle  time.Duration
}

// stageServer is a server that runs pieces of stages.
type stageServer struct {
	world   *world
	results *results
	spec    stageSpec
	id      string
	zone    string
	addr    string
	turn    chan struct{} // one slot

	mu      sync.Mutex
	present int // calls that run or wait
	used    int64
	// copies is the share of answers that are sent twice now.
	copies float64
	// allowance is how many more answers may be sent twice.
	allowance float64
	// copyStatus is that of the answers to stage-run that are sent twice.
	copyStatus int
	// rejects is the share of calls that are turned away.
	rejects float64
	seq     int
	// answers and copied count.
	answers, copied, rejected int
}

// queue is the number of calls that may wait.
const queue = 2

func (w *world) newStageServer(r *results, spec stageSpec, zone string, n int) *stageServer {
	host := fmt.Sprintf("127.1.%d.%d", 1, n+1)
	l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun(err)
	}
	s := &stageServer{
		world:   w,
		results: r,
		spec:    spec,
		id:      "i-" + newID()[:8],
		zone:    zone,
		addr:    l.Addr().String(),
		turn:    make(chan struct{}, 1),
	}
	go serveRaw(l, s.handleRequest)
	return s
}

// register writes the server's entry.
func (s *stageServer) register() {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	s.world.put("keyed.servers", s.id, map[string]any{
		"service": s.spec.service, "address": s.addr, "zone": s.zone, "version": "1", "slots": 1,
		"state": "ready", "cold-left-ms": 0, "seq": seq,
	})
}

// reply writes an answer and decides whether it is sent a second time, late.
func (s *stageServer) reply(c *rawConn, call string, status int, header map[string]string, body []byte) {
	if header == nil {
		header = make(map[string]string)
	}
	header["X-Sequoiafork-Instance"] = s.id
	b := answer(status, header, body)
	s.mu.Lock()
	s.answers++
	if s.copies > 0 {
		s.allowance += s.copies
	}
	// Copies are made of answers to stage-run, and of no more than the share of all answers.
	again := s.copies > 0 && s.allowance >= 1 && status == s.copyStatus && call != "report" && call != "stage-free"
	if again {
		s.allowance--
		s.copied++
	}
	s.mu.Unlock()
	c.write(b)
	if !again {
		return
	}
	// The copy is sent while the next answer on the connection is due.
	late := time.Duration(50+300*s.world.random()) * time.Millisecond
	time.AfterFunc(late, func() {
		c.sendCopy(b, func() { s.world.rec.add("%s sends the answer to %s again, status %d: %s", s.id, call, status, body) })
	})
}

func (s *stageServer) handleRequest(c *rawConn, r *http.Request, body []byte) {
	c.mu.Lock()
	held := c.copied
	c.copied = nil
	c.mu.Unlock()
	if held != nil {
		c.sendCopy(held, func() { s.world.rec.add("%s sends an answer again as the next request arrives", s.id) })
	}
	if r.Header.Get("X-Sequoiafork-Expect-Instance") != s.id {
		c.write(answer(http.StatusMisdirectedRequest, map[string]string{"X-Sequoiafork-Instance": s.id}, nil))
		return
	}
	switch r.URL.Path {
	case "/report":
		s.mu.Lock()
		free := (s.spec.room - s.used) / 1e6
		waiting := max(s.present-1, 0)
		busy := s.present > 0
		s.mu.Unlock()
		s.reply(c, "report", http.StatusOK, nil, []byte(fmt.Sprintf(`{"waiting":%d,"busy":%v,"free-mb":%d}`, waiting, busy, free)))
	case "/stage-free":
		s.free(body)
		s.reply(c, "stage-free", http.StatusOK, nil, []byte(`{}`))
	case "/stage-run":
		s.run(c, body)
	default:
		c.write(answer(http.StatusNotFound, nil, nil))
	}
}

func (s *stageServer) free(body []byte) {
	var req struct {
		Handles []string `json:"handles"`
	}
	_ = json.Unmarshal(body, &req)
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, h := range req.Handles {
		if held, ok := s.results.held[h]; ok && held.holder == s {
			delete(s.results.held, h)
			s.mu.Lock()
			s.used -= held.bytes
			s.mu.Unlock()
		}
	}
}

// runItem is a piece in a call.
type runItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	LeftMs *float64 `json:"left-ms"`
	Key    string   `json:"key"`
	Inputs []string `json:"inputs"`
}

func (s *stageServer) run(c *rawConn, body []byte) {
	arrived := time.Now()
	var req struct {
		Items []runItem `json:"items"`
	}
	if err := json.Unmarshal(body, &req); err != nil {
		s.reply(c, "stage-run", http.StatusBadRequest, nil, nil)
		return
	}
	s.mu.Lock()
	full := s.present > queue || s.world.random() < s.rejects
	if !full {
		s.present++
	}
	s.mu.Unlock()
	name := callName(req.Items)
	if full {
		s.mu.Lock()
		s.rejected++
		s.mu.Unlock()
		s.world.rec.add("%s rejects %s", s.id, name)
		s.reply(c, name, http.StatusServiceUnavailable, map[string]string{"X-Sequoiafork-Not-Run": "1", "X-Sequoiafork-Load": "1,2,1"}, nil)
		return
	}
	s.turn <- struct{}{}
	out := s.work(req.Items, arrived)
	<-s.turn
	s.mu.Lock()
	s.present--
	load := fmt.Sprintf("%d,%d,1", min(s.present, 1), max(s.present-1, 0))
	s.mu.Unlock()
	raw, _ := json.Marshal(map[string]any{"items": out})
	s.world.rec.add("%s ran %s: %s", s.id, name, raw)
	s.reply(c, name, http.StatusOK, map[string]string{"X-Sequoiafork-Load": load}, raw)
}

func callName(items []runItem) string {
	var names []string
	for _, it := range items {
		names = append(names, fmt.Sprintf("%s/%d/%d", it.ID, it.Stage, it.Piece))
	}
	return strings.Join(names, ",")
}

// work runs the items of one call.
func (s *stageServer) work(items []runItem, arrived time.Time) []map[string]string {
	out := make([]map[string]string, len(items))
	took := s.spec.call
	for i, it := range items {
		out[i] = s.begin(it, arrived)
		if out[i]["reason"] == "" {
			took += s.spec.item
		}
	}
	time.Sleep(took)
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	for _, o := range out {
		if h := o["handle"]; h != "" {
			s.results.held[h].until = time.Now().Add(s.spec.handle)
		}
	}
	return out
}

// begin takes an item at the turn of its call.
func (s *stageServer) begin(it runItem, arrived time.Time) map[string]string {
	if it.LeftMs != nil && time.Since(arrived) > time.Duration(*it.LeftMs*float64(time.Millisecond)) {
		return map[string]string{"reason": "late"}
	}
	for _, h := range it.Inputs {
		of, ok := s.results.fetch(h)
		if !ok {
			if of != it.ID {
				s.world.rec.add("%s is given the input %s of %s for %s, which is gone", s.id, h, of, it.ID)
			}
			return map[string]string{"reason": "gone"}
		}
		if of != it.ID {
			s.world.rec.violate("MIXED: %s is given the input %s for %s/%d/%d, which is a result of request %s", s.id, h, it.ID, it.Stage, it.Piece, of)
		}
	}
	size := s.resultBytes(it)
	s.mu.Lock()
	if s.used+size > s.spec.room {
		s.mu.Unlock()
		return map[string]string{"reason": "room"}
	}
	s.used += size
	s.mu.Unlock()
	handle := s.addr + "/" + newID()
	s.results.mu.Lock()
	defer s.results.mu.Unlock()
	s.results.held[handle] = &result{
		request: it.ID,
		stage:   it.Stage,
		piece:   it.Piece,
		bytes:   size,
		until:   time.Now().Add(time.Hour),
		holder:  s,
	}
	s.results.made[handle] = it.ID
	return map[string]string{"handle": handle}
}

// expire drops the results whose time is over.
func (r *results) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for h, held := range r.held {
		if time.Now().After(held.until) {
			delete(r.held, h)
			held.holder.mu.Lock()
			held.holder.used -= held.bytes
			held.holder.mu.Unlock()
		}
	}
}

// resultBytes is the size of the result of an item, as the manifest names it.
func (s *stageServer) resultBytes(it runItem) int64 {
	switch {
	case s.spec.service == "billing-desk":
		return 60000
	case s.spec.service == "notify-hub":
		return 6000
	case s.world.isLight(it.ID, it.Stage):
		return 8000
	}
	return 1500000
}

// isLight reports whether the results of a request's stage are small.
func (w *world) isLight(request string, stage int) bool {
	c, ok := w.sent.Load(request)
	return ok && c.(class).lightStage == stage
}
