// Package editid makes the identifiers of edits. A client makes the identifier
// before it sends an edit, so that the edit can be looked up when the reply is lost.
package editid

import (
	"crypto/rand"
	"strings"
)

// randomLetters is the number of base32 letters, each of five random bits.
const randomLetters = 12

// New returns an identifier that is short enough to be typed on a phone.
func New() string {
	return "e-" + strings.ToLower(rand.Text()[:randomLetters])
}
