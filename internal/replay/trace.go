package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"
)

// Arrival is one request of a trace.
type Arrival struct {
	ArrivalMs      int64  `json:"arrival_ms"`
	Workspace      string `json:"workspace"`
	Route          string `json:"route"`
	Prefix         string `json:"prefix"`
	InputBytes     int    `json:"input_bytes"`
	DeadlineMs     int64  `json:"deadline_ms"`
	IdempotencyKey string `json:"key,omitempty"`
	Repeatable     bool   `json:"repeatable"`
}

// At returns the arrival time since the start of the trace.
func (a Arrival) At() time.Duration {
	return time.Duration(a.ArrivalMs) * time.Millisecond
}

// Deadline returns the deadline relative to the arrival.
func (a Arrival) Deadline() time.Duration {
	return time.Duration(a.DeadlineMs) * time.Millisecond
}

// Input returns the request's input. Arrivals with the same prefix and size have
// equal inputs.
func (a Arrival) Input() string {
	word := a.Prefix + " "
	return strings.Repeat(word, a.InputBytes/len(word)+1)[:a.InputBytes]
}

// LineError reports a line of a trace that can't be decoded.
type LineError struct {
	Line int
	Err  error
}

// Error returns the line number and the cause.
func (e *LineError) Error() string {
	return fmt.Sprintf("line %d: %v", e.Line, e.Err)
}

// Unwrap returns the cause.
func (e *LineError) Unwrap() error {
	return e.Err
}

// ReadTrace reads a trace.
func ReadTrace(r io.Reader) ([]Arrival, error) {
	var list []Arrival
	lines := bufio.NewScanner(r)
	for n := 1; lines.Scan(); n++ {
		dec := json.NewDecoder(bytes.NewReader(lines.Bytes()))
		dec.DisallowUnknownFields()
		var a Arrival
		if err := dec.Decode(&a); err != nil {
			return nil, &LineError{
				Line: n,
				Err:  err,
			}
		}
		list = append(list, a)
	}
	return list, lines.Err()
}

// LoadTrace reads the trace in the file at path.
func LoadTrace(path string) ([]Arrival, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("load trace: %w", err)
	}
	defer f.Close()
	list, err := ReadTrace(f)
	if err != nil {
		return nil, fmt.Errorf("load trace %s: %w", path, err)
	}
	return list, nil
}

// WriteTrace writes a trace.
func WriteTrace(w io.Writer, list []Arrival) error {
	enc := json.NewEncoder(w)
	for _, a := range list {
		if err := enc.Encode(a); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}
