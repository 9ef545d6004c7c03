package settings

import (
	"fmt"
	"strings"
	"time"
)

// field is one key of the settings file.
type field struct {
	section     string
	key         string
	description string
	unit        string
	allowed     string
	// defaultText is the default, or an example where the field is required.
	defaultText string
	required    bool
	// platformKind is the kind of platform that needs the field. Empty means every kind.
	platformKind string
	set          func(s *Settings, text string) error
}

// flagName is the name of the field's flag, such as "limits.max_in_flight".
func (f field) flagName() string {
	return f.section + "." + f.key
}

// setter returns a function that parses a text and stores the result in the field of
// Settings that dst selects.
func setter[T any](parse func(string) (T, error), dst func(*Settings) *T) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		v, err := parse(text)
		if err != nil {
			return err
		}
		*dst(s) = v
		return nil
	}
}

// sectionBuilder collects the fields of one section.
type sectionBuilder struct {
	section string
	fields  []field
}

func (g *sectionBuilder) add(f field) {
	f.section = g.section
	g.fields = append(g.fields, f)
}

func (g *sectionBuilder) duration(key, description string, def, lowest, highest time.Duration, dst func(*Settings) *time.Duration) {
	g.add(field{
		key:         key,
		description: description,
		unit:        "duration",
		allowed:     allowedDuration(lowest, highest),
		defaultText: formatDuration(def),
		set:         setter(inRange(time.ParseDuration, lowest, highest), dst),
	})
}

func (g *sectionBuilder) integer(key, description, unit string, def, lowest, highest int64, dst func(*Settings) *int64) {
	g.add(field{
		key:         key,
		description: description,
		unit:        unit,
		allowed:     fmt.Sprintf("a whole number of %s from %d to %d", unit, lowest, highest),
		defaultText: fmt.Sprint(def),
		set:         setter(inRange(parseInteger, lowest, highest), dst),
	})
}

func (g *sectionBuilder) number(key, description, unit string, def, lowest, highest float64, dst func(*Settings) *float64) {
	g.add(field{
		key:         key,
		description: description,
		unit:        unit,
		allowed:     fmt.Sprintf("a number (%s) from %g to %g", unit, lowest, highest),
		defaultText: fmt.Sprint(def),
		set:         setter(inRange(parseNumber, lowest, highest), dst),
	})
}

func (g *sectionBuilder) enum(key, description, def string, values []string, dst func(*Settings) *string) {
	g.add(field{
		key:         key,
		description: description,
		unit:        "word",
		allowed:     strings.Join(values, ", "),
		defaultText: def,
		set:         setter(oneOf(values...), dst),
	})
}

func (g *sectionBuilder) listenAddr(key, description, example string, dst func(*Settings) *string) {
	g.add(field{
		key:         key,
		description: description,
		unit:        "IP:port",
		allowed:     allowedListenAddr,
		defaultText: example,
		required:    true,
		set:         setter(parseListenAddr, dst),
	})
}

// requiredAddr adds an address that is required on one kind of platform.
func (g *sectionBuilder) requiredAddr(platformKind, key, description, example string, dst func(*Settings) *string) {
	g.add(field{
		key:          key,
		description:  description,
		unit:         "IP:port",
		allowed:      allowedAddr,
		defaultText:  example,
		required:     true,
		platformKind: platformKind,
		set:          setter(parseAddr, dst),
	})
}
