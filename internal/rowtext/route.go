package rowtext

import (
	"strconv"
	"strings"
	"time"

	"sequoiafork/internal/wire/operatorapi"
)

const (
	allowedRoute    = "deadline=4s stages=NAME:POOL,..."
	allowedDeadline = "a time with its unit, such as 4s or 250ms"
	allowedStage    = "NAME:POOL/MODEL/64tok/500ms with ! or ~"

	tokensSuffix        = "tok"
	nonIdempotentSuffix = "!"
	cacheableSuffix     = "~"
)

// ApplyRoute returns the route with the values of the key=value fields set.
func ApplyRoute(route operatorapi.RouteSpec, fields []string) (operatorapi.RouteSpec, error) {
	err := applyFields(fields, map[string]setter{
		"deadline": func(value string) error {
			d, err := parseMilliseconds("deadline", value)
			route.DeadlineMs = d
			return err
		},
		"stages": func(value string) error {
			stages, err := parseStages(value)
			route.Stages = stages
			return err
		},
	}, allowedRoute)
	return route, err
}

func parseMilliseconds(key, value string) (int64, error) {
	d, err := time.ParseDuration(value)
	if err != nil || d < time.Millisecond || d%time.Millisecond != 0 {
		return 0, &SyntaxError{
			Key:     key,
			Value:   value,
			Allowed: allowedDeadline,
		}
	}
	return d.Milliseconds(), nil
}

func parseStages(text string) ([]operatorapi.Stage, error) {
	stages := []operatorapi.Stage{}
	for _, part := range splitList(text) {
		stage, err := parseStage(part)
		if err != nil {
			return nil, err
		}
		stages = append(stages, stage)
	}
	return stages, nil
}

func parseStage(text string) (operatorapi.Stage, error) {
	var stage operatorapi.Stage
	invalid := &SyntaxError{
		Key:     "stages",
		Value:   text,
		Allowed: allowedStage,
	}
	body := cutStageSuffixes(text, &stage)
	name, rest, ok := strings.Cut(body, ":")
	pool, options, hasOptions := strings.Cut(rest, "/")
	if !ok || name == "" || pool == "" || hasOptions && options == "" {
		return stage, invalid
	}
	stage.Name, stage.Pool = name, pool
	if hasOptions && !parseOptions(options, &stage) {
		return stage, invalid
	}
	return stage, nil
}

// cutStageSuffixes cuts the suffixes ! and ~ off the text of a stage and sets their
// options.
func cutStageSuffixes(text string, stage *operatorapi.Stage) string {
	for {
		if body, ok := strings.CutSuffix(text, nonIdempotentSuffix); ok {
			stage.NotRepeatable = operatorapi.NewOptBool(true)
			text = body
			continue
		}
		body, ok := strings.CutSuffix(text, cacheableSuffix)
		if !ok {
			return text
		}
		stage.Reusable = operatorapi.NewOptBool(true)
		text = body
	}
}

// parseOptions parses MODEL/TOKENStok/TIMEOUT, each optional, from the end. It reports
// whether the text is valid.
func parseOptions(text string, stage *operatorapi.Stage) bool {
	parts := strings.Split(text, "/")
	if ms, err := parseMilliseconds("", parts[len(parts)-1]); err == nil {
		stage.TimeoutMs = operatorapi.NewOptInt64(ms)
		parts = parts[:len(parts)-1]
	}
	if len(parts) > 0 {
		if tokens, ok := parseTokens(parts[len(parts)-1]); ok {
			stage.MaxTokens = operatorapi.NewOptInt64(tokens)
			parts = parts[:len(parts)-1]
		}
	}
	if len(parts) == 0 {
		return true
	}
	stage.Model = operatorapi.NewOptString(parts[0])
	return len(parts) == 1 && parts[0] != ""
}

func parseTokens(text string) (int64, bool) {
	digits, ok := strings.CutSuffix(text, tokensSuffix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	return n, err == nil && n > 0
}

// FormatRoute returns the key=value fields of the route. The list of stages is split into
// one string for each stage.
func FormatRoute(route operatorapi.RouteSpec) []string {
	fields := []string{
		"deadline=" + formatMilliseconds(route.DeadlineMs),
	}
	for i, s := range route.Stages {
		text := FormatStage(s)
		if i == 0 {
			text = "stages=" + text
		}
		if i < len(route.Stages)-1 {
			text += ","
		}
		fields = append(fields, text)
	}
	return fields
}

// FormatStage returns a stage in the syntax of the list of stages.
func FormatStage(s operatorapi.Stage) string {
	text := s.Name + ":" + s.Pool
	if model, ok := s.Model.Get(); ok {
		text += "/" + model
	}
	if tokens, ok := s.MaxTokens.Get(); ok {
		text += "/" + strconv.FormatInt(tokens, 10) + tokensSuffix
	}
	if timeout, ok := s.TimeoutMs.Get(); ok {
		text += "/" + formatMilliseconds(timeout)
	}
	if s.NotRepeatable.Or(false) {
		text += nonIdempotentSuffix
	}
	if s.Reusable.Or(false) {
		text += cacheableSuffix
	}
	return text
}

func formatMilliseconds(ms int64) string {
	return (time.Duration(ms) * time.Millisecond).String()
}
