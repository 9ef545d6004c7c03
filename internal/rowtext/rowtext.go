// Package rowtext parses and formats the rows of the two tables as short key=value
// fields, which are quick to type on a phone.
//
// A route is written as
//
//	deadline=4s stages=encode:enc,retrieve:ret~,generate:llm/model-a/64tok,commit:orders!
//
// Each stage is NAME:POOL, then /MODEL, /TOKENStok and /TIMEOUT, each optional and
// in this order. The suffix ! marks a stage that is non-idempotent and runs at most once,
// ~ one whose results are cacheable.
//
// A pool is written as
//
//	kind=engine service=llm concurrency=8 models=model-a,model-b shares=desk:3,shop:1 fencing=yes
//
// Omitted fields keep the row's values.
package rowtext

import (
	"fmt"
	"strings"
)

// SyntaxError reports a field that is invalid.
type SyntaxError struct {
	Key   string
	Value string
	// Allowed describes the values or fields that are allowed.
	Allowed string
}

// Error returns the field and what is allowed.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("%s=%s: use %s", e.Key, e.Value, e.Allowed)
}

// setter parses and stores the value of one key.
type setter func(value string) error

// applyFields passes the value of each key=value field to the setter of its key. A key
// that occurs twice is an error.
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

// splitList splits a list at commas; an empty text is an empty list.
func splitList(text string) []string {
	if text == "" {
		return nil
	}
	return strings.Split(text, ",")
}
