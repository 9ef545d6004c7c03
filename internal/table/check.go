package table

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits of the fields of routes and pools.
const (
	MaxNameBytes   = 64
	MaxStages      = 16
	MinDeadline    = 10 * time.Millisecond
	MaxDeadline    = 10 * time.Minute
	MaxConcurrency = 10_000
	MaxTokens      = 1 << 20
	MaxShares      = 10_000
	MaxWeight      = 1_000
	MaxModels      = 256
)

// problems collects the reasons for rejecting an edit.
type problems []Problem

func (p *problems) add(field, format string, args ...any) {
	*p = append(*p, Problem{
		Field:   field,
		Message: fmt.Sprintf(format, args...),
	})
}

// Validate returns every problem of an edit that doesn't depend on the tables, or nil.
func Validate(e Edit) []Problem {
	var p problems
	p.checkName("edit_id", e.ID)
	if len(e.Author) > MaxNameBytes || !utf8.ValidString(e.Author) {
		p.add("author", "is %d bytes long: use at most %d, in UTF-8", len(e.Author), MaxNameBytes)
	}
	switch c := e.Change.(type) {
	case SetRoute:
		validateRoute(&p, c.Route)
	case DeleteRoute:
		p.checkName("name", c.Name)
	case SetPool:
		validatePool(&p, c.Pool)
	case DeletePool:
		p.checkName("name", c.Name)
	default:
		p.add("change", "is missing: set or delete one route or pool")
	}
	return p
}

// Check returns every problem of an edit to these tables, or nil. It doesn't compare
// the base revision. The result depends on nothing but the tables and the edit, so all
// daemons accept and reject the same edits. The texts of the problems become part of the
// replicated state and its digest.
func (t *Tables) Check(e Edit) []Problem {
	p := problems(Validate(e))
	switch c := e.Change.(type) {
	case SetRoute:
		t.checkRoute(&p, c.Route)
	case DeleteRoute:
		if _, ok := t.Route(c.Name); !ok {
			p.add("name", "%q is no route: there is nothing to delete", c.Name)
		}
	case SetPool:
		t.checkDependentRoutes(&p, c.Pool)
	case DeletePool:
		if _, ok := t.Pool(c.Name); !ok {
			p.add("name", "%q is no pool: there is nothing to delete", c.Name)
		}
		t.checkUnused(&p, c.Name)
	}
	return p
}

func (p *problems) checkName(field, name string) {
	p.checkCharacters(field, name, namePunctuation)
}

// checkModelName also allows the separators of a model's path and version.
func (p *problems) checkModelName(field, name string) {
	p.checkCharacters(field, name, namePunctuation+"/:@")
}

// namePunctuation holds the characters other than letters and digits that are allowed
// in a name, except as its first character.
const namePunctuation = "._-"

func (p *problems) checkCharacters(field, name, punctuation string) {
	switch {
	case name == "":
		p.add(field, "is empty: give a name")
	case len(name) > MaxNameBytes:
		p.add(field, "is %d bytes long: use at most %d", len(name), MaxNameBytes)
	case !isLetterOrDigit(name[0]):
		p.add(field, "%q does not start with a letter or digit", name)
	case strings.ContainsFunc(name, func(r rune) bool {
		return r > unicode.MaxASCII || !isLetterOrDigit(byte(r)) && !strings.ContainsRune(punctuation, r)
	}):
		p.add(field, "%q has other signs than letters, digits and %s", name, punctuation)
	}
}

func isLetterOrDigit(c byte) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
}

func (p *problems) checkRange(field string, n, low, high int) {
	if n < low || n > high {
		p.add(field, "is %d: use %d to %d", n, low, high)
	}
}

func (p *problems) checkDuration(field string, d, low, high time.Duration) {
	if d < low || d > high {
		p.add(field, "is %v: use %v to %v", d, low, high)
	} else if d%time.Millisecond != 0 {
		p.add(field, "is %v: use whole milliseconds", d)
	}
}
