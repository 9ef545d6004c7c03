package cli

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/operatorapi"
)

// maxLineColumns is the width of a phone's terminal, in characters.
const maxLineColumns = 40

// errorReport is the JSON form of an error.
type errorReport struct {
	Exit     ExitCode              `json:"exit"`
	Message  string                `json:"message"`
	Problems []operatorapi.Problem `json:"problems,omitempty"`
	Outcome  *callerapi.Outcome    `json:"outcome,omitempty"`
}

// printer writes lines of at most maxLineColumns characters.
type printer struct {
	w io.Writer
}

// wrapped prints text, wrapped at spaces. Continuation lines are indented by the
// indent and a space; a word that is longer than a line is split.
func (p printer) wrapped(indent, text string) {
	for paragraph := range strings.SplitSeq(strings.TrimSpace(text), "\n") {
		p.wrapParagraph(indent, strings.Fields(paragraph))
	}
}

func (p printer) wrapParagraph(indent string, words []string) {
	line := []rune(indent)
	empty := true
	for _, word := range words {
		letters := []rune(word)
		if !empty && len(line)+1+len(letters) > maxLineColumns {
			fmt.Fprintln(p.w, string(line))
			line, empty = []rune(indent+" "), true
		}
		if !empty {
			line = append(line, ' ')
		}
		line, empty = append(line, letters...), false
		for len(line) > maxLineColumns {
			fmt.Fprintln(p.w, string(line[:maxLineColumns]))
			line = append([]rune(indent+" "), line[maxLineColumns:]...)
		}
	}
	fmt.Fprintln(p.w, string(line))
}

// linef prints formatted text, wrapped.
func (p printer) linef(format string, args ...any) {
	p.wrapped("", fmt.Sprintf(format, args...))
}

// lines prints each item on a line of its own.
func (p printer) lines(indent string, items []string) {
	for _, item := range items {
		p.wrapped(indent, item)
	}
}

func (a *app) printer() printer {
	return printer{
		w: a.output,
	}
}

// printJSON prints a value as one line of JSON, which is the wire format for wire types.
func (a *app) printJSON(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode the response: %w", err)
	}
	_, err = fmt.Fprintln(a.output, string(data))
	return err
}

func printProblems(p printer, problems []operatorapi.Problem) {
	for _, problem := range problems {
		p.wrapped(" ", problem.Field+": "+problem.Message)
	}
}

// usageText returns the help text of a command, wrapped to maxLineColumns.
func usageText(c *ffcli.Command) string {
	var b strings.Builder
	p := printer{
		w: &b,
	}
	p.wrapped("", c.ShortUsage)
	p.wrapped("", c.ShortHelp)
	if c.LongHelp != "" {
		p.wrapped("", c.LongHelp)
	}
	for _, sub := range c.Subcommands {
		p.wrapped(" ", sub.Name+": "+sub.ShortHelp)
	}
	c.FlagSet.VisitAll(func(f *flag.Flag) {
		p.wrapped(" ", "-"+f.Name+": "+f.Usage)
	})
	return b.String()
}
