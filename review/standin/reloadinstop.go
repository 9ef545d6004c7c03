package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// The course of the case, from the moment at which the requests are sent. The server needs workTime for each.
const (
	workTime      = 2 * time.Second
	stopAfter     = 300 * time.Millisecond
	reloadAfter   = 800 * time.Millisecond
	stopRequests  = 6
	stopTimeLimit = 20 * time.Second
)

// reloadInStop plays a daemon that is stopped as planned and whose settings change meanwhile: SIGTERM, then SIGHUP.
func reloadInStop(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	s := plainServer(w, "h1", workTime)
	if err := s.start(); err != nil {
		return nil, err
	}
	s.register(st, "ready")
	st.put(topicOperator, "config", plainManifest(7, "non_idempotent", ""))
	d, err := w.start("edge-1", "be-south-a", st)
	if err != nil {
		return nil, err
	}
	client := &http.Client{
		Timeout: stopTimeLimit,
	}
	var mu sync.Mutex
	var broken []string
	var wg sync.WaitGroup
	for n := range stopRequests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("a%03d", n)
			status, body, err := plainRequest(client, d.front, http.MethodPost, id, "")
			w.line("request %s: status %d, body %q, error %v", id, status, body, err)
			if err != nil {
				mu.Lock()
				defer mu.Unlock()
				broken = append(broken, fmt.Sprintf("LOST: the connection of request %s, which had been passed on, ends without an answer: %v", id, err))
			}
		}()
	}
	time.Sleep(stopAfter)
	w.line("the daemon gets SIGTERM")
	if err := d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	time.Sleep(reloadAfter - stopAfter)
	if w.trouble {
		w.line("the daemon gets SIGHUP")
		if err := d.cmd.Process.Signal(syscall.SIGHUP); err != nil {
			return nil, err
		}
	}
	wg.Wait()
	select {
	case err := <-d.exited:
		w.line("the daemon has ended: %v", err)
	case <-time.After(stopTimeLimit):
		return nil, fmt.Errorf("the daemon has not ended %v after SIGTERM", stopTimeLimit)
	}
	return broken, nil
}
