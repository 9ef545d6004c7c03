package idempotency

import (
	"time"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// Status is the state of a key as known to this process.
type Status struct {
	// Owner is the incarnation that may run the key's request, or "" if none is known.
	Owner   string
	Running bool
	// Outcome is the final outcome, or nil.
	Outcome outcome.Outcome
	// Expired is set if the key's request has run and its outcome is no longer stored.
	Expired bool
}

// Started reports whether the request of the key is running or has run.
func (st Status) Started() bool {
	return st.Running || st.Expired || st.Outcome != nil
}

// Status returns the state of key. It runs nothing.
func (r *Registry) Status(workspace, key string) Status {
	st := Status{
		Owner: r.owner(workspace, key),
	}
	hash := HashKey(workspace, key)
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[hash]
	if !ok {
		return st
	}
	st.Running = e.state == stateRunning
	if e.state == stateCompleted {
		st.Outcome = e.result
		st.Expired = e.result == nil
	}
	return st
}

func (r *Registry) owner(workspace, key string) string {
	if ident.IsIssued(key) {
		issued, err := ident.ParseIssuedKey(key)
		if err != nil {
			return ""
		}
		return issued.Owner
	}
	owner, _ := r.cfg.Claims.Lookup(HashKey(workspace, key))
	return owner.Incarnation
}

// Counts describes the size of a registry.
type Counts struct {
	Keys        int `json:"keys"`
	Running     int `json:"running"`
	ResultBytes int `json:"result_bytes"`
}

// Counts returns the size of r.
func (r *Registry) Counts() Counts {
	var c Counts
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		c.Keys += len(s.entries)
		c.Running += len(s.entries) - s.completed.Len()
		c.ResultBytes += s.storedBytes
		s.mu.Unlock()
	}
	return c
}

// ResultWindow returns how long the outcomes of keys are stored.
func (r *Registry) ResultWindow() time.Duration {
	return r.cfg.ResultWindow
}
