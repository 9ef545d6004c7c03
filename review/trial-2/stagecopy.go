//go:build review2

package main

import (
	"fmt"
	"io"
	"math"
	"math/rand"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(folder string){
	"stagecopy":  func(folder string) { playStageCopy(folder, false) },
	"rejectcopy": func(folder string) { playStageCopy(folder, true) },
}

// class is a kind of request.
type class struct {
	name      string
	path      string
	perSecond float64
	deadline  int
	// lightStage is the stage of keeper-portal whose results are small, or -1.
	lightStage int
	// pieces returns the number of pieces of each stage.
	pieces func() []int
}

// pieces returns a number of pieces with a mean, at least 1 and at most 25.
func pieces(mean float64) int {
	return min(max(int(math.Round(mean*(0.4+1.2*rand.Float64()))), 1), 25)
}

func share(p float64, n int) int {
	if rand.Float64() < p {
		return n
	}
	return 0
}

const apiKey = "9dnn2ctnfzs989anu6ws"

// stageManifest is a manifest as the sheet of hutwacht-prod describes it.
func stageManifest(version int) map[string]any {
	stage := func(service string, bytes int, after ...int) map[string]any {
		m := map[string]any{"service": service, "bytes": bytes}
		if len(after) > 0 {
			m["after"] = after
		}
		return m
	}
	route := func(name, prefix string, attempts, timeout, goal, priority int, resumable bool, stages ...map[string]any) map[string]any {
		return map[string]any{
			"name": name, "host": "hut.example", "path-prefix": prefix, "type": "stream", "timeout-ms": timeout, "goal-ms": goal,
			"gap-goal-ms": 400, "priority": priority, "service": "sequoia-pool", "attempts": attempts, "sticky": true,
			"resumable": resumable, "stages": stages,
		}
	}
	worker := func(name string, batch int, item, room float64) map[string]any {
		return map[string]any{
			"name": name, "health-path": "/healthz", "max-conns": 620,
			"pieces": map[string]any{"slots": 1, "queue": queue, "batch": batch, "call-ms": 200, "item-ms": item, "room-mb": room, "handle-s": 4, "link-mbps": 10000},
		}
	}
	return map[string]any{
		"version": version,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
		"tenants": []any{map[string]any{"name": "t1", "api-keys": []string{apiKey}}},
		"services": []any{
			map[string]any{"name": "sequoia-pool", "health-path": "/healthz", "max-conns": 620, "engine": map[string]any{"slots": 128, "kv-capacity": 270909}},
			worker("keeper-portal", 8, 21, 18),
			worker("billing-desk", 22, 7.8, 2.8),
			worker("notify-hub", 36, 4.8, 0.47),
		},
		"routes": []any{
			route("season-digest", "/digest/", 2, 8000, 1600, 1, true, stage("keeper-portal", 1500000)),
			route("repair-draft", "/draft/", 1, 6000, 2300, 0, false,
				stage("keeper-portal", 8000), stage("billing-desk", 60000, 0), stage("notify-hub", 6000, 1)),
			route("keeper-ask", "/ask/", 2, 20000, 2000, 2, true,
				stage("keeper-portal", 1500000), stage("keeper-portal", 8000), stage("billing-desk", 60000, 1), stage("notify-hub", 6000, 2)),
		},
	}
}

// playStageCopy plays servers of stages that send some answers a second time, late.
// With rejections, the answers that are sent twice are those of one server that turns away some of its calls.
func playStageCopy(folder string, rejections bool) {
	w := newWorld(folder, []string{"be-south-a", "be-south-a", "be-south-b", "be-south-c"})
	zones := []string{"be-south-a", "be-south-b", "be-south-c"}
	res := &results{
		held: make(map[string]*result),
		made: make(map[string]string),
	}
	w.put("keyed.op", "config", stageManifest(1))
	var workers []*stageServer
	var engines []*engine
	add := func(service string, count, batch int, item time.Duration, room int64) {
		for i := range count {
			workers = append(workers, w.newStageServer(res, stageSpec{
				service: service,
				batch:   batch,
				call:    200 * time.Millisecond,
				item:    item,
				room:    room,
				handle:  4 * time.Second,
			}, zones[i%len(zones)], len(workers)))
		}
	}
	add("keeper-portal", 4, 8, 21*time.Millisecond, 18e6)
	add("billing-desk", 5, 22, 7800*time.Microsecond, 2.8e6)
	add("notify-hub", 5, 36, 4800*time.Microsecond, 470e3)
	for i := range 12 {
		engines = append(engines, w.newEngine(res, zones[i%len(zones)], i))
	}
	beat := func() {
		for _, s := range workers {
			s.register()
		}
		for _, e := range engines {
			e.register()
		}
	}
	beat()
	stop := make(chan struct{})
	go every(1200*time.Millisecond, stop, beat)
	go every(100*time.Millisecond, stop, res.expire)
	w.startAll()
	classes := []class{
		{"season-digest", "/digest/x", 8.74, 8000, -1, func() []int { return []int{share(0.7, pieces(2.5))} }},
		{"repair-draft", "/draft/x", 11.5, 6000, 0, func() []int { return []int{1, pieces(6), pieces(10)} }},
		{"keeper-ask", "/ask/x", 13, 20000, 1, func() []int { return []int{share(0.4, pieces(1.5)), 1, pieces(6), pieces(10)} }},
	}
	var wg sync.WaitGroup
	for _, c := range classes {
		go every(0, stop, func() {
			time.Sleep(time.Duration(rand.ExpFloat64() / (loadFactor * c.perSecond) * float64(time.Second)))
			wg.Add(1)
			go func() {
				defer wg.Done()
				w.request(c)
			}()
		})
	}
	time.Sleep(3 * time.Second)
	// Spells of the disruption with a pause between them.
	const spell, pause = 5 * time.Second, 1500 * time.Millisecond
	end := time.Now().Add(85 * time.Second)
	for time.Now().Before(end) {
		if trouble() {
			affected := affectedServers(workers)
			if rejections {
				affected = affectedServers(workers[:4])
				affected[0].setRejects(rejectShare)
			}
			for _, s := range affected {
				s.setCopies(copyShare, rejections)
			}
			w.rec.add("garble begins at %d servers of %s", len(affected), affected[0].spec.service)
		}
		time.Sleep(spell)
		for _, s := range workers {
			s.setCopies(0, false)
			s.setRejects(0)
		}
		w.rec.add("garble has ended")
		time.Sleep(pause)
	}
	close(stop)
	time.Sleep(3 * time.Second)
	answers, copied, rejected := 0, 0, 0
	for _, s := range workers {
		s.mu.Lock()
		answers += s.answers
		copied += s.copied
		rejected += s.rejected
		s.mu.Unlock()
	}
	w.rec.add("%d answers of servers of stages, %d sent twice, %d calls turned away", answers, copied, rejected)
	fmt.Println(answers, "answers,", copied, "sent twice,", rejected, "calls turned away")
	w.finish()
}

const (
	// loadFactor is the traffic as a multiple of that of the sheet.
	loadFactor = 1.6
	// copyShare is the share of answers that are sent twice, rejectShare that of calls that one server turns away, serverShare that of the servers of a service that do so.
	copyShare   = 0.03
	rejectShare = 0.4
	serverShare = 0.6
)

// affectedServers returns serverShare of the servers of one service.
func affectedServers(workers []*stageServer) []*stageServer {
	service := workers[rand.Intn(len(workers))].spec.service
	var list []*stageServer
	for _, i := range rand.Perm(len(workers)) {
		if workers[i].spec.service == service {
			list = append(list, workers[i])
		}
	}
	return list[:int(serverShare*float64(len(list)))]
}

func (s *stageServer) setCopies(share float64, rejections bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies, s.copyStatus = share, http.StatusOK
	if rejections {
		s.copyStatus = http.StatusServiceUnavailable
	}
}

func (s *stageServer) setRejects(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejects = share
}

func every(d time.Duration, stop <-chan struct{}, f func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(d):
			f()
		}
	}
}

var client = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 64,
		DisableCompression:  true,
	},
}

// request sends one request to a daemon and reads its answer.
func (w *world) request(c class) {
	d := w.daemons[rand.Intn(len(w.daemons))]
	id := newID()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.front+c.path, strings.NewReader("prompt of "+id))
	if err != nil {
		return
	}
	counts := c.pieces()
	var list []string
	for _, n := range counts {
		list = append(list, strconv.Itoa(n))
	}
	r.Host = "hut.example"
	set := r.Header.Set
	set("X-Sequoiafork-Request-Id", id)
	set("X-Sequoiafork-Deadline-Ms", strconv.Itoa(c.deadline))
	set("Api-Key", apiKey)
	set("X-Sequoiafork-Model", "m")
	set("X-Sequoiafork-Tokens", "1460,80")
	set("X-Sequoiafork-Prefix-Hash", "5c1e07a2:800,"+newID()[:8]+":410")
	set("X-Sequoiafork-Pieces", strings.Join(list, ","))
	set("X-Sequoiafork-Piece-Key", newID()[:12])
	w.sent.Store(id, c)
	w.rec.add("sent %s %s to daemon %d, pieces %s", c.name, id, d.index, strings.Join(list, ","))
	began := time.Now()
	res, err := client.Do(r)
	if err != nil {
		w.rec.add("answered %s: %v", id, err)
		return
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	w.rec.add("answered %s: status %d, %d bytes, %v, in %d ms", id, res.StatusCode, len(body), err, time.Since(began).Milliseconds())
}
