package cli

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// maxLogLine is the maximum length of a log line, in bytes.
const maxLogLine = 1 << 20

// logLine is a parsed line of a daemon's log.
type logLine struct {
	time      time.Time
	message   string
	daemon    string
	fields    map[string]json.RawMessage
	fieldKeys []string
}

func (a *app) traceCommand() *ffcli.Command {
	return a.leafCommand(a.flagSet("trace"), "trace", "sequoiafork trace ID FILE...", "the log lines of one request", func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return badInput("trace takes a request's id and the logs of daemons")
		}
		var lines []logLine
		for _, path := range args[1:] {
			found, err := readTrace(path, args[0])
			if err != nil {
				return err
			}
			lines = append(lines, found...)
		}
		if len(lines) == 0 {
			return fmt.Errorf("no line of request %s in %d logs: answered requests are logged 1 in 16", args[0], len(args)-1)
		}
		slices.SortStableFunc(lines, func(a, b logLine) int { return a.time.Compare(b.time) })
		p := a.printer()
		for _, l := range lines {
			p.wrapped("", l.format(lines[0].time))
		}
		return nil
	})
}

func readTrace(path, id string) ([]logLine, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return traceLines(f, id)
}

// traceLines returns the log lines of a request. Text before the first brace of a line,
// such as a prefix that a log collector adds, is skipped.
func traceLines(r io.Reader, id string) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		text := scanner.Text()
		if !strings.Contains(text, id) {
			continue
		}
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		if l, ok := parseLogLine(text[start:], id); ok {
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

func parseLogLine(text, id string) (logLine, bool) {
	var fields map[string]json.RawMessage
	if json.Unmarshal([]byte(text), &fields) != nil || unquote(fields["request_id"]) != id {
		return logLine{}, false
	}
	at, err := time.Parse(time.RFC3339Nano, unquote(fields["time"]))
	if err != nil {
		return logLine{}, false
	}
	l := logLine{
		time:    at,
		message: unquote(fields["msg"]),
		daemon:  unquote(fields["incarnation"]),
		fields:  fields,
	}
	for key := range fields {
		switch key {
		case "time", "msg", "incarnation", "request_id", "level":
		default:
			l.fieldKeys = append(l.fieldKeys, key)
		}
	}
	slices.SortFunc(l.fieldKeys, func(a, b string) int { return cmp.Compare(a, b) })
	return l, true
}

// unquote decodes a JSON string and returns other JSON values as they are written.
func unquote(raw json.RawMessage) string {
	var s string
	if json.Unmarshal(raw, &s) == nil {
		return s
	}
	return string(raw)
}

func (l logLine) format(start time.Time) string {
	var out strings.Builder
	fmt.Fprintf(&out, "+%v %s: %s", l.time.Sub(start).Round(time.Millisecond/10), l.daemon, l.message)
	for _, key := range l.fieldKeys {
		fmt.Fprintf(&out, " %s=%s", key, unquote(l.fields[key]))
	}
	return out.String()
}
