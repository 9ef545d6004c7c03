// Package rowtext reads and writes rows of the two tables as short words, for a
// phone's keyboard.
//
// A route is written as
//
//	deadline=4s stages=encode:enc,retrieve:ret~,generate:llm/model-a/64tok,commit:orders!
//
// Each stage is NAME:POOL, then /MODEL, /TOKENStok and /TIMEOUT, each optional and
// in this order. A final ! marks a stage that is not repeatable, ~ one whose
// results are reusable.
//
// A pool is written as
//
//	kind=engine service=llm concurrency=8 models=model-a,model-b shares=desk:3,shop:1 fencing=yes
//
// Words that are left out keep the row's value.
package rowtext

import (
	"fmt"
	"strings"
)

// SyntaxError is a word that can't be read, with what is allowed.
type SyntaxError struct {
	Key     string
	Value   string
	Allowed string
}

// Error names the word and what is allowed.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s=%s: use %s", e.Key, e.Value, e.Allowed)
}

// setter stores the value of one key.
type setter func(value string) error

// apply sends each key=value word to its setter. Each key may stand once.
func applyFields(fields []string, setters map[string]setter, allowed string) error {
	seen := map[string]bool{}
	for _, field := range fields {
		key, value, ok := strings.Cut(field, "=")
		set, known := setters[key]
		if !ok || !known {
			return &SyntaxError{
				Key:     key,
				Value:   value,
				Allowed: allowed,
			}
		}
		if seen[key] {
			return &SyntaxError{
				Key:     key,
				Value:   value,
				Allowed: "each key once",
			}
		}
		seen[key] = true
		if err := set(value); err != nil {
			return err
		}
	}
	return nil
}

// split parts a list at commas; an empty text is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
