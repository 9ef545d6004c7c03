package http1

import (
	"bytes"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

const (
	// maxLineBytes bounds a line of a head.
	maxLineBytes = 16 << 10
	// maxQuotedBytes bounds what a HeadError quotes.
	maxQuotedBytes = 80
)

// HeadError reports a head that is no head of a response in HTTP/1.1.
type HeadError struct {
	// Line is the start of the malformed line, or the name of a field that must not be there.
	Line string
	// Reason says what is wrong with it.
	Reason string
}

// Error returns the reason and the line.
func (e *HeadError) Error() string {
	return fmt.Sprintf("malformed response: %s: %q", e.Reason, e.Line)
}

func newHeadError(line []byte, reason string) *HeadError {
	return &HeadError{
		Line:   string(line[:min(len(line), maxQuotedBytes)]),
		Reason: reason,
	}
}

// Parts of the input of a head.
type headPart int

const (
	// inStatusLine is before the end of the status line, and inFields after it.
	inStatusLine headPart = iota
	inFields
	// outside is after the head of the final response.
	outside
)

// head checks the heads of a response, those of interim responses first, as they arrive. It keeps a line only while its
// end has not arrived. Its zero value expects a status line.
type head struct {
	part headPart
	line []byte
	// status and minor, the second digit of the version, are those of the head whose fields are read.
	status int
	minor  byte
	// hasLength and hasEncoding report that it has the fields that say where the body ends.
	hasLength, hasEncoding bool
}

// check checks the next bytes. If a line is malformed, it returns how many of the bytes precede the end of the line.
func (h *head) check(b []byte) (int, *HeadError) {
	for at := 0; h.part != outside; {
		length := bytes.IndexByte(b[at:], '\n')
		if length < 0 {
			h.line = append(h.line, b[at:]...)
			if len(h.line) > maxLineBytes {
				return at, newHeadError(h.line, "the line is too long")
			}
			break
		}
		line := b[at : at+length]
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		if malformed := h.checkLine(bytes.TrimSuffix(line, []byte("\r"))); malformed != nil {
			return at + length, malformed
		}
		h.line = nil
		at += length + 1
	}
	return len(b), nil
}

// checkLine checks a line without its end.
func (h *head) checkLine(line []byte) *HeadError {
	switch {
	case h.part == inStatusLine:
		h.part = inFields
		return h.checkStatusLine(line)
	case len(line) > 0:
		return h.checkField(line)
	}
	h.part = outside
	if isInterim(h.status) {
		h.part = inStatusLine
	}
	return h.checkEnd()
}

const (
	versionPrefix = "HTTP/1."
	// statusAt is where the status begins, after a digit and a blank, and reasonAt the blank before the reason.
	statusAt = len(versionPrefix) + 2
	reasonAt = statusAt + 3
	// minStatus and maxStatus bound the statuses that HTTP defines. Those from minFinalStatus on end an exchange, and those
	// from minFailureStatus on are failures.
	minStatus        = 100
	minFinalStatus   = 200
	minFailureStatus = 400
	maxStatus        = 599
	// switchingProtocols is the status of a connection that no longer speaks HTTP/1.1, which nobody asks for.
	switchingProtocols = 101
)

// isInterim reports whether another response follows one with a status.
func isInterim(status int) bool { return status < minFinalStatus }

// checkStatusLine checks a status line. The reason may be missing, also with the blank before it.
func (h *head) checkStatusLine(line []byte) *HeadError {
	if len(line) < reasonAt || string(line[:len(versionPrefix)]) != versionPrefix || !isDigit(line[len(versionPrefix)]) || line[statusAt-1] != ' ' {
		return newHeadError(line, "no status line of HTTP/1.1")
	}
	h.status, h.minor, h.hasLength, h.hasEncoding = 0, line[len(versionPrefix)], false, false
	for _, c := range line[statusAt:reasonAt] {
		if !isDigit(c) {
			return newHeadError(line, "the status is no number")
		}
		h.status = h.status*10 + int(c-'0')
	}
	if h.status < minStatus || h.status > maxStatus || h.status == switchingProtocols {
		return newHeadError(line, "the status is none of a response")
	}
	reason := line[reasonAt:]
	if len(reason) > 0 && reason[0] != ' ' {
		return newHeadError(line, "the status is too long")
	}
	if bytes.ContainsFunc(reason, isControl) {
		return newHeadError(line, "the reason has a control character")
	}
	return nil
}

// Names of the fields that say where the body ends.
var (
	lengthName   = []byte("Content-Length")
	encodingName = []byte("Transfer-Encoding")
)

// checkField checks the line of a field, except for its value, which net/http checks. A line that continues the one before
// it, as older versions allowed, is malformed.
func (h *head) checkField(line []byte) *HeadError {
	name, _, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 {
		return newHeadError(line, "the field has no name")
	}
	for _, c := range name {
		if !httpguts.IsTokenRune(rune(c)) {
			return newHeadError(line, "the name of the field has a character that names don't have")
		}
	}
	h.hasLength = h.hasLength || bytes.EqualFold(name, lengthName)
	h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, encodingName)
	return nil
}

// checkEnd checks that the fields do not contradict each other about where the body ends.
func (h *head) checkEnd() *HeadError {
	switch {
	case h.hasEncoding && h.minor == '0':
		return newHeadError(encodingName, "a response of HTTP/1.0 has no chunks")
	case h.hasEncoding && h.hasLength:
		return newHeadError(encodingName, "the response has a length, too")
	}
	return nil
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

// isControl reports whether a character may stand in no part of a head.
func isControl(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
