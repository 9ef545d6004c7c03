package forward

import "time"

// Stop is when a process that stops ends its requests. Its zero value is that of a process that does not stop.
type Stop struct {
	// LateFrom is when callers know other addresses. A request after that is rejected unless it ends before End.
	LateFrom time.Time
	// End is when EndRequests is called.
	End time.Time
}

// rejects reports whether a request with a deadline is rejected now.
func (s *Stop) rejects(now, deadline time.Time) bool {
	return s != nil && !s.End.IsZero() && now.After(s.LateFrom) && deadline.After(s.End)
}

// StopAt says when the process ends its requests.
func (f *Forwarder) StopAt(s Stop) { f.stop.Store(&s) }
