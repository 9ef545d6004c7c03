// Package editid generates the identifiers of edits. A client generates the identifier
// before it sends an edit, so that it can look the edit up if the response is lost.
package editid

import (
	"crypto/rand"
	"strings"
)

// randomLetters is the number of base32 letters, each of five random bits.
const randomLetters = 12

// New returns a random identifier that is short enough to be typed on a phone.
func New() string {
	return "e-" + strings.ToLower(rand.Text()[:randomLetters])
}
