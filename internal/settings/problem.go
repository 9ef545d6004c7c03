package settings

import (
	"fmt"
	"strings"
)

// Problem describes an invalid setting and what is allowed instead.
type Problem struct {
	Section string
	Key     string
	Value   string
	// Reason is what is wrong, such as "unknown key".
	Reason string
	// Allowed describes the allowed values.
	Allowed string
}

// String returns the problem on one line.
func (p Problem) String() string {
	location := "[" + p.Section + "]"
	if p.Key != "" {
		location += " " + p.Key
	}
	if p.Value != "" {
		location += fmt.Sprintf(" = %q", p.Value)
	}
	return fmt.Sprintf("%s: %s; allowed: %s", location, p.Reason, p.Allowed)
}

// ProblemsError holds every problem of the settings, in the order of the fields.
type ProblemsError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *ProblemsError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings: %d problems", len(e.Problems)))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}
