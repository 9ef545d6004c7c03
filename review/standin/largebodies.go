package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// bodyBytes is just below max-body-bytes of the manifest.
	bodyBytes = 4_000_000
	// memoryLimit is memory-mb of the machine's settings, in KiB.
	memoryLimit = 414_000_000 / 1024
	// usualGap is the time between two requests, and burstFactor by how much more users come at once.
	usualGap    = 70 * time.Millisecond
	burstFactor = 2.5
	burstBegin  = 6 * time.Second
	burstEnd    = 13 * time.Second
	bodiesTime  = 20 * time.Second
	bodyWork    = 4 * time.Second
)

// residentKiB returns the memory of a process.
func residentKiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.Fields(rest)[0])
			return n
		}
	}
	return 0
}

// largeBodies plays many users that come at once, with large bodies. The platform kills a process that exceeds its memory.
func largeBodies(w *world) ([]string, error) {
	st, err := newStore()
	if err != nil {
		return nil, err
	}
	s := plainServer(w, "h1", bodyWork)
	if err := s.start(); err != nil {
		return nil, err
	}
	s.register(st, "ready")
	st.put(topicOperator, "config", plainManifest(7, "non_idempotent", ""))
	d, err := w.start("edge-1", "be-south-a", st)
	if err != nil {
		return nil, err
	}
	body := bytes.Repeat([]byte("x"), bodyBytes)
	var wg sync.WaitGroup
	var mu sync.Mutex
	counts := make(map[string]int)
	var lost []string
	send := func(id string) {
		defer wg.Done()
		req, _ := http.NewRequest(http.MethodPost, "http://"+d.front+"/log/1", bytes.NewReader(body))
		req.Host = "hut.example"
		req.Header.Set(headerID, id)
		req.Header.Set(headerDeadline, "6000")
		res, err := http.DefaultClient.Do(req)
		text := ""
		if err == nil {
			_, err = io.Copy(io.Discard, res.Body)
			res.Body.Close()
			text = res.Status
		}
		mu.Lock()
		defer mu.Unlock()
		if err != nil {
			text = "no answer"
			w.line("request %s: no answer: %v", id, err)
			lost = append(lost, fmt.Sprintf("LOST: the connection of request %s ends without an answer: %v", id, err))
		}
		counts[text]++
	}
	most := 0
	killed := false
	began := time.Now()
	for n := 0; time.Since(began) < bodiesTime && !killed; n++ {
		wg.Add(1)
		go send(fmt.Sprintf("a%04x", n))
		gap := usualGap
		if since := time.Since(began); w.trouble && since > burstBegin && since < burstEnd {
			gap = time.Duration(float64(usualGap) / burstFactor)
		}
		time.Sleep(gap)
		now := residentKiB(d.cmd.Process.Pid)
		if now > most {
			most = now
			w.line("the daemon uses %d KiB", now)
		}
		if now > memoryLimit {
			killed = true
			w.line("the platform kills the daemon, which exceeds its memory of %d KiB", memoryLimit)
			d.kill()
		}
	}
	wg.Wait()
	w.line("answers: %v, most memory %d KiB of %d", counts, most, memoryLimit)
	if len(lost) <= lostAllowed {
		return nil, nil
	}
	return lost, nil
}
