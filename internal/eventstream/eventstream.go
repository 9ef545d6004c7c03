// Package eventstream splits a text/event-stream body into events without changing their
// bytes.
package eventstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"sequoiafork/internal/bytequota"
)

// maxEventBytes bounds the size of one event, so that an upstream can't exhaust the memory.
const maxEventBytes = 1 << 20

// ErrTooLong reports an event that is longer than 1 MiB.
var ErrTooLong = errors.New("event is longer than 1 MiB")

// Event is one event. Raw includes the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the value of the event's id field. It is valid only if HasID is set.
	ID    int64
	HasID bool
	// HasFields is false for blank lines and comments, which are no event for their reader: they
	// may keep a connection open while nothing is generated.
	HasFields bool
}

// Config configures a Reader. Both fields are required.
type Config struct {
	// Source is the stream.
	Source io.Reader
	// Memory is shared by the events that are read at the same time.
	Memory *bytequota.Quota
}

// Reader reads events from a stream. It is not safe for concurrent use.
type Reader struct {
	r *bufio.Reader
	// memory is reserved for an event until it is complete.
	memory *bytequota.Reservation
}

// NewReader returns a reader of the events of a stream.
func NewReader(cfg Config) *Reader {
	return &Reader{
		r:      bufio.NewReader(cfg.Source),
		memory: cfg.Memory.Reserve(),
	}
}

// Next returns the next event. The error is io.EOF if the stream ends after a complete
// event, and io.ErrUnexpectedEOF if it ends within one. It is a *bytequota.ExceededError if
// there is no memory for the event.
func (r *Reader) Next() (Event, error) {
	defer r.memory.Reset()
	var e Event
	lineStart := 0
	for {
		part, err := r.r.ReadSlice('\n')
		if len(e.Raw)+len(part) > maxEventBytes {
			return Event{}, ErrTooLong
		}
		if err := r.memory.Resize(int64(len(e.Raw) + len(part))); err != nil {
			return Event{}, err
		}
		e.Raw = append(e.Raw, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue // The line goes on.
		case errors.Is(err, io.EOF) && len(e.Raw) > 0:
			return Event{}, io.ErrUnexpectedEOF
		case err != nil:
			return Event{}, err
		}
		text := bytes.TrimRight(e.Raw[lineStart:], "\r\n")
		if len(text) == 0 {
			return e, nil
		}
		e.HasFields = e.HasFields || text[0] != ':'
		e.parseID(text)
		lineStart = len(e.Raw)
	}
}

// parseID sets the ID of e if line is an id field with a decimal integer.
func (e *Event) parseID(line []byte) {
	value, ok := bytes.CutPrefix(line, []byte("id:"))
	if !ok {
		return
	}
	id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil {
		return
	}
	e.ID = id
	e.HasID = true
}
