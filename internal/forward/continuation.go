package forward

import (
	"errors"
	"fmt"
	"mime"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"sequoiafork/internal/eventstream"
)

var (
	// errOtherType reports a response that is not of the media type of the stream that is to go on.
	errOtherType = errors.New("the response is not of the type of the stream that has begun")
	// errUnnumbered reports an event without an ID in a response that goes on with a stream.
	errUnnumbered = errors.New("an event without an ID does not go on with the stream")
)

// positionError reports an event that does not follow the last one that the caller received.
type positionError struct {
	last, got int64
}

// Error implements error.
func (e *positionError) Error() string {
	return fmt.Sprintf("event %d does not follow event %d", e.got, e.last)
}

// position is how far a stream has been forwarded. Its zero value is that of one that has not begun.
type position struct {
	// mediaType is that of the response that began the stream.
	mediaType string
	// lastID is the ID of the last event that the caller received. It is valid if hasLastID is set.
	lastID    int64
	hasLastID bool
	// lastHash is the hash of that event.
	lastHash uint64
	// unnumbered reports that an event without an ID was forwarded after that.
	unnumbered bool
	// steps counts the events that followed another one by one, and gaps the others.
	steps, gaps int
}

// forwarded records an event that was forwarded.
func (p *position) forwarded(e eventstream.Event) {
	p.unnumbered = !e.HasID
	if !e.HasID {
		return
	}
	switch {
	case !p.hasLastID:
	case e.ID == p.lastID+1:
		p.steps++
	default:
		p.gaps++
	}
	p.lastID, p.hasLastID, p.lastHash = e.ID, true, xxhash.Sum64(e.Raw)
}

// mayGoOn reports whether another response can go on after what was forwarded: that can be named.
func (p *position) mayGoOn() bool { return p.hasLastID && !p.unnumbered }

// checkHead returns an error unless a response may go on with the stream.
func (p *position) checkHead(h http.Header) error {
	if mediaType(h) != p.mediaType {
		return errOtherType
	}
	return nil
}

// checkNext returns an error unless an event of a response that goes on with the stream is the next one, or the last one
// again. IDs without gaps so far have none later.
func (p *position) checkNext(e eventstream.Event) error {
	switch {
	case !e.HasID:
		return errUnnumbered
	case e.ID == p.lastID && xxhash.Sum64(e.Raw) == p.lastHash:
		return nil
	case e.ID <= p.lastID || p.steps > 0 && p.gaps == 0 && e.ID != p.lastID+1:
		return &positionError{
			last: p.lastID,
			got:  e.ID,
		}
	}
	return nil
}

// mediaType returns the media type of a response without its parameters, empty if it has none.
func mediaType(h http.Header) string {
	name, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	if err != nil {
		return ""
	}
	return name
}
