package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The installation: deskServers servers with deskSlots slots each, and a queue of deskQueue. One answer of deskCloseEvery
// ends its connection.
const (
	deskServers    = 3
	deskSlots      = 6
	deskQueue      = 4
	deskWork       = 60 * time.Millisecond
	deskCloseEvery = 20
	deskDaemons    = 2
)

// The course of the case. The usual load is half of what the servers can do.
const (
	deskGap         = time.Second / 150
	deskBurstFactor = 2.5
	deskBurstBegin  = 8 * time.Second
	deskBurstEnd    = 15 * time.Second
	killAt          = 8 * time.Second
	killDown        = 600 * time.Millisecond
	// recoverBound is the bound recover-s.
	recoverBound = 12 * time.Second
	deskEnd      = killAt + killDown + recoverBound + 12*time.Second
	// servedShare is the share of requests that are served at least.
	servedShare = 0.25
)

// deskServer is a server that turns requests away when it is full.
func deskServer(w *world, id string) *server {
	places := newSlots(deskSlots, deskQueue)
	s := &server{
		service:    "hutlog",
		zone:       "be-south-a",
		id:         id,
		closeEvery: deskCloseEvery,
	}
	s.handle = func(r *http.Request, _ []byte) answer {
		if !places.take() {
			w.line("%s is full and turns request %s away", id, r.Header.Get(headerID))
			return answer{
				status: http.StatusServiceUnavailable,
				header: http.Header{
					headerNotRun: {"1"},
					headerLoad:   {places.load()},
				},
			}
		}
		defer places.release()
		time.Sleep(deskWork)
		return answer{
			status: http.StatusOK,
			header: http.Header{
				headerStamp: {id + ".1"},
				headerLoad:  {places.load()},
			},
			body: []byte("done: " + r.Header.Get(headerID)),
		}
	}
	return s
}

// period counts the requests of a part of the case.
type period struct {
	sent   int
	served int
	counts map[string]int
}

func (p *period) add(status int, err error) {
	p.sent++
	text := fmt.Sprintf("status %d", status)
	if err != nil {
		text = "no answer"
	}
	if err == nil && status == http.StatusOK {
		p.served++
	}
	p.counts[text]++
}

func (p *period) share() float64 { return float64(p.served) / float64(max(p.sent, 1)) }

// rushAfterKill plays the final fault: all daemons are killed at once while many users come, and start again.
func rushAfterKill(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	for n := range deskServers {
		s := deskServer(w, fmt.Sprintf("h%d", n+1))
		if err := s.start(); err != nil {
			return nil, err
		}
		s.register(st, "ready")
	}
	st.put(topicOperator, "config", plainManifest(7, "idempotent", ""))
	var daemons []*daemon
	for n := range deskDaemons {
		d, err := w.start(fmt.Sprintf("edge-%d", n+1), "be-south-a", st)
		if err != nil {
			return nil, err
		}
		daemons = append(daemons, d)
	}
	began := time.Now()
	if w.trouble {
		go killAll(w, daemons)
	}
	before := &period{
		counts: make(map[string]int),
	}
	after := &period{
		counts: make(map[string]int),
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	client := &http.Client{
		Timeout: 3 * time.Second,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 256,
		},
	}
	send := func(n int, at time.Duration) {
		defer wg.Done()
		id := fmt.Sprintf("a%06x", n)
		first := rand.IntN(deskDaemons)
		status, _, err := plainRequest(client, daemons[first].front, http.MethodGet, id, "")
		if err != nil || status != http.StatusOK { // Requesters retry once, on another address.
			status, _, err = plainRequest(client, daemons[(first+1)%deskDaemons].front, http.MethodGet, id+"r", "")
		}
		mu.Lock()
		defer mu.Unlock()
		switch {
		case at < killAt:
			before.add(status, err)
		case at > killAt+killDown+recoverBound:
			after.add(status, err)
		}
	}
	for n := 0; time.Since(began) < deskEnd; n++ {
		at := time.Since(began)
		wg.Add(1)
		go send(n, at)
		gap := float64(deskGap)
		if w.trouble && at > deskBurstBegin && at < deskBurstEnd {
			gap /= deskBurstFactor
		}
		time.Sleep(time.Duration(rand.ExpFloat64() * gap))
	}
	wg.Wait()
	w.line("before the final fault: %d of %d served, %v", before.served, before.sent, before.counts)
	w.line("later than %v after the return: %d of %d served, %v", recoverBound, after.served, after.sent, after.counts)
	fmt.Printf("before: %d of %d served; later than %v after the return: %d of %d served\n",
		before.served, before.sent, recoverBound, after.served, after.sent)
	if before.share() < servedShare {
		return nil, fmt.Errorf("only %d of %d requests were served before the final fault", before.served, before.sent)
	}
	if after.share() >= servedShare {
		return nil, nil
	}
	return []string{fmt.Sprintf("RECOVER: of %d requests sent later than %v after the daemons were back, %d are served",
		after.sent, recoverBound, after.served)}, nil
}

// killAll kills all daemons at once and starts them again.
func killAll(w *world, daemons []*daemon) {
	time.Sleep(killAt)
	w.line("all daemons are killed")
	for _, d := range daemons {
		d.kill()
	}
	time.Sleep(killDown)
	for _, d := range daemons {
		<-d.exited
		if err := d.run(); err != nil {
			w.line("a daemon does not start again: %v", err)
		}
	}
	w.line("the daemons start again")
}
