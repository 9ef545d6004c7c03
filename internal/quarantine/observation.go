package quarantine

import "time"

// Observation is what one daemon tells the others: End, Success or Hold.
type Observation interface{ isObservation() }

// End is the end of an upstream's process, with the attempts of one or more daemons that may have ended it.
type End struct {
	// Incarnation is that of the upstream.
	Incarnation string
	At          time.Time
	Attempts    []Attempt
}

// Attempt is an attempt with a key at an upstream that ended before the response was complete or settled.
type Attempt struct {
	Key Key
	// Request is a hash of the ID of the request.
	Request uint64
	Began   time.Time
	// Succeeded reports that requests with the key have succeeded at the daemon of the attempt, at some time before.
	Succeeded bool
}

// isSame reports whether two attempts at one upstream are the same.
func (a Attempt) isSame(b Attempt) bool { return a.Key.Hash == b.Key.Hash && a.Request == b.Request }

// Success is the success of a request with a key: its response is complete or has settled.
type Success struct {
	Key uint64
	At  time.Time
}

// Hold is the hold of a key.
type Hold struct {
	Key  uint64
	Rank int
	// Since is its start. Failures counts the trials that have failed before it.
	Since    time.Time
	Failures int
	// Ends is the number of ends of upstreams that are held against the key.
	Ends int
}

func (End) isObservation()     {}
func (Success) isObservation() {}
func (Hold) isObservation()    {}

// until returns the end of the hold, when a trial is due.
func (h Hold) until() time.Time {
	length := firstHold
	for range h.Failures {
		length = min(length*holdGrowth, maxHold)
	}
	return h.Since.Add(length)
}

// WithFailure returns the hold that follows a trial that failed at a time.
func (h Hold) WithFailure(at time.Time) Hold {
	h.Since = at
	h.Failures++
	return h
}
