// Package oracle computes what the stand-in upstreams answer, so that a test
// can tell the right answer of a route without asking a daemon:
//
//	want := oracle.Route([]oracle.Stage{{Kind: "encoder", Name: "encode"}}, "input")
package oracle

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the length of a completion whose request sets none.
const DefaultMaxTokens = 16

// EngineKind is the kind of stage that a model engine serves.
const EngineKind = "engine"

// Stage is one stage of a route as its upstream sees it.
type Stage struct {
	Kind      string
	Name      string
	Model     string
	MaxTokens int
}

// Output returns what an upstream other than an engine answers to input.
func Output(kind, stage, input string) string {
	return fmt.Sprintf("%s/%s(%016x)", kind, stage, xxhash.Sum64String(kind+"\x00"+stage+"\x00"+input))
}

// Tokens returns the tokens with which an engine completes prompt. A maxTokens
// of zero or less means DefaultMaxTokens.
func Tokens(model, prompt string, maxTokens int) []string {
	if maxTokens <= 0 {
		maxTokens = DefaultMaxTokens
	}
	seed := xxhash.Sum64String(model + "\x00" + prompt)
	tokens := make([]string, maxTokens)
	for i := range tokens {
		tokens[i] = fmt.Sprintf("%06x ", xxhash.Sum64String(fmt.Sprintf("%016x/%d", seed, i))&0xffffff)
	}
	return tokens
}

// Completion returns the whole text with which an engine completes prompt.
func Completion(model, prompt string, maxTokens int) string {
	return strings.Join(Tokens(model, prompt, maxTokens), "")
}

// Route returns the answer of a route whose stages each take the output of the
// one before.
func Route(stages []Stage, input string) string {
	for _, s := range stages {
		input = s.output(input)
	}
	return input
}

func (s Stage) output(input string) string {
	if s.Kind == EngineKind {
		return Completion(s.Model, input, s.MaxTokens)
	}
	return Output(s.Kind, s.Name, input)
}
