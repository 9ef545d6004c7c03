// Package editid generates the identifiers of edits. A client generates the identifier
// before it sends an edit, so that it can look the edit up if the response is lost.
package editid

import (
	"crypto/rand"
	"strings"
)

// randomChars is the number of base32 characters, each of five random bits.
const randomChars = 12

// New returns a random identifier that is short enough to be typed on a phone.
func New() string {
	return "e-" + strings.ToLower(rand.Text()[:randomChars])
}
