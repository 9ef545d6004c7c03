package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The load: users come in clumps.
const (
	stageClumps   = 100
	stageClump    = 4
	stageClumpGap = 700 * time.Millisecond
	stageUserGap  = 30 * time.Millisecond
	// stagePieces is the number of pieces of each of the three stages.
	stagePieces = "1,1,1"
	// stageCopyEvery is the number of answers of the faulty server of which one is sent twice: fewer than 3 in 100.
	stageCopyEvery = 35
	stageCallTime  = 200 * time.Millisecond
	stageItemTime  = 20 * time.Millisecond
	stageSlots     = 2
	stageQueue     = 2
	handleLifetime = 4 * time.Second
	// firstTokenTime is how long a model server takes for the prompt.
	firstTokenTime = 1500 * time.Millisecond
)

// result is a result of a stage that its server keeps.
type result struct {
	owner string
	stage int
	until time.Time
}

// results are those of all stage servers, by handle.
type results struct {
	mu   sync.Mutex
	made map[string]result // of all results ever made
	gone map[string]bool   // those that were freed
}

func (r *results) make(handle, owner string, stage int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made[handle] = result{
		owner: owner,
		stage: stage,
		until: time.Now().Add(handleLifetime),
	}
}

func (r *results) free(handles []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range handles {
		r.gone[h] = true
	}
}

// find returns a result and whether its server still has it.
func (r *results) find(handle string) (result, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := r.made[handle]
	return found, found.owner != "" && !r.gone[handle] && time.Now().Before(found.until)
}

// stageItem is an item of a call.
type stageItem struct {
	ID     string   `json:"id"`
	Stage  int      `json:"stage"`
	Piece  int      `json:"piece"`
	Inputs []string `json:"inputs"`
}

// stageServer is a server of a service of stages.
func stageServer(w *world, service, id string, all *results, faulty bool, broke func(string)) *server {
	places := newSlots(stageSlots, stageQueue)
	var made, answers atomic.Int64
	s := &server{
		service: service,
		zone:    "be-south-a",
		id:      id,
	}
	s.handle = func(r *http.Request, body []byte) answer {
		switch r.URL.Path {
		case "/report":
			return jsonAnswer(map[string]any{
				"waiting": 0,
				"busy":    0,
				"free-mb": 18,
				"born":    s.born,
			})
		case "/stage-free":
			var call struct {
				Handles []string `json:"handles"`
			}
			_ = json.Unmarshal(body, &call)
			all.free(call.Handles)
			w.line("%s frees %s", id, strings.Join(call.Handles, " "))
			return jsonAnswer(map[string]any{})
		}
		if !places.take() {
			return answer{
				status: http.StatusServiceUnavailable,
				header: http.Header{
					headerNotRun: {"1"},
				},
			}
		}
		defer places.release()
		var call struct {
			Items []stageItem `json:"items"`
		}
		_ = json.Unmarshal(body, &call)
		time.Sleep(stageCallTime + time.Duration(len(call.Items))*stageItemTime)
		var items []map[string]string
		for _, it := range call.Items {
			if reason := checkInputs(w, id, it, all, broke); reason != "" {
				items = append(items, map[string]string{
					"reason": reason,
				})
				continue
			}
			handle := fmt.Sprintf("%s/%s%x", s.addr, id, made.Add(1))
			all.make(handle, it.ID, it.Stage)
			items = append(items, map[string]string{
				"handle": handle,
			})
			w.line("%s made %s for stage %d of request %s", id, handle, it.Stage, it.ID)
		}
		return jsonAnswer(map[string]any{
			"items": items,
		})
	}
	if faulty {
		s.repeat = func(r *http.Request, _ answer) bool {
			if r.URL.Path != "/stage-run" || answers.Add(1)%stageCopyEvery != 0 {
				return false
			}
			w.line("%s will send a second copy of the answer to its last call", id)
			return true
		}
		s.repeated = func(r *http.Request) {
			w.line("%s sends the second copy where the answer to %s is expected", id, r.URL.Path)
		}
	}
	return s
}

// checkInputs returns the reason for which a piece is not made, empty if it is. It notes inputs of other requests.
func checkInputs(w *world, id string, it stageItem, all *results, broke func(string)) string {
	reason := ""
	for _, handle := range it.Inputs {
		found, there := all.find(handle)
		if found.owner != it.ID {
			broke(fmt.Sprintf("MIXED: the piece of stage %d of request %s is sent to server %s with input %s, which was made for request %q (still there: %v)",
				it.Stage, it.ID, id, handle, found.owner, there))
		}
		if !there {
			w.line("%s: an input of stage %d of request %s is gone", id, it.Stage, it.ID)
			reason = "gone"
		}
	}
	return reason
}

func jsonAnswer(v any) answer {
	body, _ := json.Marshal(v)
	return answer{
		status: http.StatusOK,
		header: http.Header{
			"Content-Type": {"application/json"},
		},
		body: body,
	}
}

// engineServer is a model server. It notes which request is given the results of another.
func engineServer(w *world, id string, all *results, broke func(string)) *server {
	s := &server{
		service: "pool",
		zone:    "be-south-a",
		id:      id,
	}
	s.handle = func(r *http.Request, _ []byte) answer {
		request := r.Header.Get(headerID)
		missing := false
		var owners []string
		for _, handle := range strings.Split(r.Header.Get(headerInputs), ",") {
			found, there := all.find(handle)
			missing = missing || !there
			owners = append(owners, found.owner)
			if found.owner != request {
				broke(fmt.Sprintf("MIXED: request %s is sent to server %s with input %s, which was made for request %q (still there: %v)",
					request, id, handle, found.owner, there))
			}
		}
		if missing {
			w.line("%s: an input of request %s is gone", id, request)
			return answer{
				status: http.StatusConflict,
				header: http.Header{
					headerNotRun: {"1"},
				},
			}
		}
		w.line("%s runs request %s with inputs made for %s", id, request, strings.Join(owners, " "))
		time.Sleep(firstTokenTime)
		var events strings.Builder
		for n := 1; n <= 3; n++ {
			fmt.Fprintf(&events, "id: %d\ndata: token %d from inputs of %s\n\n", n, n, strings.Join(owners, " "))
		}
		return answer{
			status: http.StatusOK,
			header: http.Header{
				"Content-Type": {"text/event-stream"},
				headerStamp:    {id + ".1"},
			},
			body: []byte(events.String()),
		}
	}
	return s
}

const stageManifest = `{"version":7,"routes":[{"name":"r-digest","host":"hut.example","path-prefix":"/digest/","type":"stream",` +
	`"timeout-ms":8000,"goal-ms":1600,"priority":1,"service":"pool","attempts":1,"stages":[{"service":"portal","after":[],"bytes":8000},` +
	`{"service":"desk","after":[0],"bytes":8000},{"service":"portal","after":[],"bytes":8000}],` +
	`"public":true,"sticky":true,"resumable":false,"gap-goal-ms":400}],` +
	`"services":[{"name":"pool","health-path":"/healthz","max-conns":620,"engine":{"slots":128,"kv-capacity":270909}},` +
	`{"name":"portal","health-path":"/healthz","max-conns":620,"pieces":{"slots":2,"queue":2,"batch":8,"call-ms":200.0,"item-ms":20.0,` +
	`"room-mb":18.0,"handle-s":4.0,"link-mbps":10000}},` +
	`{"name":"desk","health-path":"/healthz","max-conns":620,"pieces":{"slots":2,"queue":2,"batch":8,"call-ms":200.0,"item-ms":20.0,` +
	`"room-mb":18.0,"handle-s":4.0,"link-mbps":10000}}],` +
	`"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

// stageCopies plays a server of two stages that sends a second copy of some of its answers, late, where the next answer
// on the connection is expected.
func stageCopies(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var broken []string
	broke := func(text string) {
		mu.Lock()
		defer mu.Unlock()
		broken = append(broken, text)
		w.line("%s", text)
	}
	all := &results{
		made: make(map[string]result),
		gone: make(map[string]bool),
	}
	servers := []*server{
		stageServer(w, "portal", "p1", all, w.trouble, broke),
		stageServer(w, "portal", "p2", all, false, broke),
		stageServer(w, "desk", "d1", all, false, broke),
		stageServer(w, "desk", "d2", all, false, broke),
		engineServer(w, "m1", all, broke),
		engineServer(w, "m2", all, broke),
	}
	for _, s := range servers {
		if err := s.start(); err != nil {
			return nil, err
		}
		s.register(st, "ready")
	}
	st.put(topicOperator, "config", []byte(stageManifest))
	d, err := w.start("edge-1", "be-south-a", st)
	if err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	served := atomic.Int64{}
	send := func(id string) {
		defer wg.Done()
		text, err := digest(d.front, id)
		if err != nil {
			w.line("request %s: %v", id, err)
			return
		}
		served.Add(1)
		w.line("request %s is answered: %q", id, text)
		if text != fmt.Sprintf("token 1 from inputs of %s %s", id, id) {
			broke(fmt.Sprintf("MIXED: the answer to request %s was made from the inputs of another: %q", id, text))
		}
	}
	for n := range stageClumps {
		for m := range stageClump {
			wg.Add(1)
			go send(fmt.Sprintf("a%03x%x", n, m))
			time.Sleep(stageUserGap)
		}
		time.Sleep(stageClumpGap - stageClump*stageUserGap)
	}
	wg.Wait()
	if served.Load() < stageClumps*stageClump/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served.Load(), stageClumps*stageClump)
	}
	return broken, nil
}

// digest sends a request and returns the first line of data of its answer.
func digest(addr, id string) (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+addr+"/digest/1", strings.NewReader("log of "+id))
	if err != nil {
		return "", err
	}
	req.Host = "hut.example"
	req.Header.Set(headerID, id)
	req.Header.Set(headerDeadline, "8000")
	req.Header.Set(headerPieces, stagePieces)
	req.Header.Set(headerPieceKey, "k"+id)
	req.Header.Set("X-Sequoiafork-Model", "m")
	req.Header.Set("X-Sequoiafork-Tokens", "400,9")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %d", res.StatusCode)
	}
	first := ""
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok && first == "" {
			first = text
		}
	}
	if err := lines.Err(); err != nil && err != io.EOF {
		return "", err
	}
	return first, nil
}
