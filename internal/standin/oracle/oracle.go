// Package oracle computes the outputs of the simulated upstreams, so that a test
// can compute the expected output of a route without calling a daemon:
//
//	want := oracle.Route([]oracle.Stage{{Kind: "encoder", Name: "encode"}}, "input")
package oracle

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// DefaultMaxTokens is the number of tokens of a completion whose request sets no
// maximum.
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

// Output returns the output of an upstream other than an engine.
func Output(kind, stage, input string) string {
	return fmt.Sprintf("%s/%s(%016x)", kind, stage, xxhash.Sum64String(kind+"\x00"+stage+"\x00"+input))
}

// Tokens returns the tokens of an engine's completion of prompt. A maxTokens of
// zero or less means DefaultMaxTokens.
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

// Completion returns the complete text of an engine's completion of prompt.
func Completion(model, prompt string, maxTokens int) string {
	return strings.Join(Tokens(model, prompt, maxTokens), "")
}

// Route returns the output of a route in which each stage takes the output of
// the previous one as its input.
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
