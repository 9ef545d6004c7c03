package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The course of the case: each crashInterval, crashShare of the model servers crash and are down for crashDown.
const (
	entryHosts    = 2
	modelServers  = 40
	crashInterval = 2400 * time.Millisecond
	crashDown     = time.Second
	crashCount    = modelServers * 3 / 10
	crashRounds   = 36
	// crashTime is how long the traffic lasts.
	crashTime = crashRounds * crashInterval
	// pairInterval is the time between two prompts, each of which two users ask about at the same time.
	pairInterval = 20 * time.Millisecond
	// prefillTime is how long a model server takes for a prompt.
	prefillTime = 1500 * time.Millisecond
	// lostAllowed is how many connections may be closed without an answer.
	lostAllowed = 3
)

// passedOn is where a request runs.
type passedOn struct {
	server *server
	// crashes is how often the server had crashed when it began.
	crashes int
}

// ledger holds the requests that servers have received.
type ledger struct {
	mu   sync.Mutex
	runs map[string]passedOn
}

// soundServer reports whether a request was passed on to a server that has not crashed since.
func (l *ledger) soundServer(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	run, ok := l.runs[id]
	return ok && run.server.crashCount() == run.crashes
}

// modelServer is a model server without stages.
func modelServer(w *world, id string, l *ledger) *server {
	s := &server{
		service: "pool",
		zone:    "be-south-a",
		id:      id,
	}
	s.handle = func(r *http.Request, _ []byte) answer {
		request := r.Header.Get(headerID)
		l.mu.Lock()
		l.runs[request] = passedOn{
			server:  s,
			crashes: s.crashCount(),
		}
		l.mu.Unlock()
		time.Sleep(prefillTime)
		return answer{
			status: http.StatusOK,
			header: http.Header{
				"Content-Type": {"text/event-stream"},
				headerStamp:    {id + ".1"},
			},
			body: []byte("id: 1\ndata: answer to " + request + "\n\n"),
		}
	}
	return s
}

const modelManifest = `{"version":7,"routes":[{"name":"r-draft","host":"hut.example","path-prefix":"/draft/","type":"stream",` +
	`"timeout-ms":6000,"goal-ms":2300,"priority":0,"service":"pool","attempts":1,"public":true,"sticky":true,"resumable":false,"gap-goal-ms":400}],` +
	`"services":[{"name":"pool","health-path":"/healthz","max-conns":620,"engine":{"slots":128,"kv-capacity":270909}}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// crashEvidence plays model servers that crash, again and again, while pairs of users ask about the same prompt.
func crashEvidence(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	l := &ledger{
		runs: make(map[string]passedOn),
	}
	var servers []*server
	for n := range modelServers {
		s := modelServer(w, fmt.Sprintf("m%02d", n), l)
		if err := s.start(); err != nil {
			return nil, err
		}
		s.register(st, "ready")
		servers = append(servers, s)
	}
	st.put(topicOperator, "config", []byte(modelManifest))
	var fronts []string
	ended := make(chan error, entryHosts)
	for n := range entryHosts {
		name := fmt.Sprintf("edge-%d", n+1)
		d, err := w.start(name, "be-south-a", st)
		if err != nil {
			return nil, err
		}
		fronts = append(fronts, d.front)
		go func() {
			err := <-d.exited
			w.line("the daemon %s has ended by itself: %v", name, err)
			ended <- err
		}()
	}
	end := time.Now().Add(crashTime)
	if w.trouble {
		go crashInTurn(w, st, servers, end)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	var lost []string
	counts := make(map[string]int)
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
		},
	}
	send := func(front, id, prompt string) {
		defer wg.Done()
		status, err := draft(client, front, id, prompt)
		mu.Lock()
		defer mu.Unlock()
		if err == nil {
			counts[fmt.Sprintf("status %d", status)]++
			return
		}
		counts["no answer"]++
		sound := l.soundServer(id)
		w.line("request %s: no answer: %v (passed on to a server that is up: %v)", id, err, sound)
		if sound {
			lost = append(lost, fmt.Sprintf("LOST: request %s was passed on to a sound server, and its connection ends without an answer: %v", id, err))
		}
	}
	for n := 0; time.Now().Before(end) && len(ended) < entryHosts; n++ {
		prompt := fmt.Sprintf("%08x", n)
		front := fronts[n%entryHosts]
		wg.Add(2)
		go send(front, fmt.Sprintf("a%06x", n), prompt)
		go send(front, fmt.Sprintf("b%06x", n), prompt)
		time.Sleep(pairInterval)
	}
	wg.Wait()
	w.line("answers: %v", counts)
	fmt.Printf("%d of %d daemons have ended by themselves\n", len(ended), entryHosts)
	if len(lost) <= lostAllowed {
		return nil, nil
	}
	return lost, nil
}

// crashInTurn lets servers crash in turn until a time.
func crashInTurn(w *world, st *store, servers []*server, end time.Time) {
	for next := 0; time.Now().Before(end); {
		time.Sleep(crashInterval - crashDown)
		var down []*server
		for range crashCount {
			down = append(down, servers[next%len(servers)])
			next++
		}
		for _, s := range down {
			s.crash()
		}
		w.line("%d servers crash, %d in all so far", len(down), next)
		time.Sleep(crashDown)
		for _, s := range down {
			if err := s.start(); err != nil {
				w.line("server %s does not start again: %v", s.id, err)
				continue
			}
			s.register(st, "ready")
		}
	}
}

// draft sends a request and reads its answer.
func draft(client *http.Client, addr, id, prompt string) (int, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/draft/1", strings.NewReader("question of "+id))
	if err != nil {
		return 0, err
	}
	req.Host = "hut.example"
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, "6000")
	req.Header.Set("X-Sequoiafork-Model", "m")
	req.Header.Set("X-Sequoiafork-Tokens", "640,9")
	req.Header.Set("X-Sequoiafork-Prefix-Hash", prompt+":568,"+id+":72")
	res, err := client.Do(req)
	if err != nil {
		return 0, errors.Unwrap(err)
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0, err
	}
	return res.StatusCode, nil
}
