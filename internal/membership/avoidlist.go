package membership

import (
	"sync"
	"time"
)

// AvoidList holds the daemons that are not used for some time, by incarnation or, if none is known,
// by address. The zero value is empty. It is safe for concurrent use.
type AvoidList struct {
	mu    sync.Mutex
	until map[string]time.Time
}

// Add excludes a daemon for d from now.
func (l *AvoidList) Add(daemon string, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.until == nil {
		l.until = make(map[string]time.Time)
	}
	l.until[daemon] = time.Now().Add(d)
}

// Remove ends the exclusion of a daemon.
func (l *AvoidList) Remove(daemon string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.until, daemon)
}

// Contains reports whether a daemon is excluded now.
func (l *AvoidList) Contains(daemon string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	until, ok := l.until[daemon]
	if ok && time.Now().After(until) {
		delete(l.until, daemon)
		return false
	}
	return ok
}
