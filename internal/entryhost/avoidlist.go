package entryhost

import (
	"sync"
	"time"
)

// avoidList holds the daemons that are not used for some time, by incarnation or, if none is known,
// by address. The zero value is empty. It is safe for concurrent use.
type avoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// add excludes a daemon for d from now.
func (l *avoidList) add(daemon string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[string]time.Time)
	}
	l.until[daemon] = time.Now().Add(d)
}

// remove ends the exclusion of a daemon.
func (l *avoidList) remove(daemon string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.until, daemon)
}

// contains reports whether a daemon is excluded now.
func (l *avoidList) contains(daemon string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[daemon]
	if ok && time.Now().After(until) {
		delete(l.until, daemon)
		return false
	}
	return ok
}
