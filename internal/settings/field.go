package settings

import (
	"fmt"
	"strings"
	"time"
)

// field is one key of the settings file.
type field struct {
	section string
	key     string
	about   string
	unit    string
	allowed string
	// text is the default, or an example where the field is required.
	text     string
	required bool
	// kind is the kind of platform that needs the field. Empty means every kind.
	kind string
	set  func(s *Settings, text string) error
}

// flagName is the name of the field's flag, such as "limits.max_in_flight".
func (f field) flagName() string {
	return f.section + "." + f.key
}

// target joins a parser to the place in Settings that it fills.
func target[T any](parse func(string) (T, error), place func(*Settings) *T) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		v, err := parse(text)
		if err != nil {
			return err
		}
		*place(s) = v
		return nil
	}
}

// group collects the fields of one section.
type group struct {
	section string
	fields  []field
}

func (g *group) add(f field) {
	f.section = g.section
	g.fields = append(g.fields, f)
}

func (g *group) duration(key, about string, def, lowest, highest time.Duration, place func(*Settings) *time.Duration) {
	g.add(field{
		key:     key,
		about:   about,
		unit:    "duration",
		allowed: allowedDuration(lowest, highest),
		text:    durationText(def),
		set:     target(inRange(time.ParseDuration, lowest, highest), place),
	})
}

func (g *group) integer(key, about, unit string, def, lowest, highest int64, place func(*Settings) *int64) {
	g.add(field{
		key:     key,
		about:   about,
		unit:    unit,
		allowed: fmt.Sprintf("a whole number of %s from %d to %d", unit, lowest, highest),
		text:    fmt.Sprint(def),
		set:     target(inRange(parseInteger, lowest, highest), place),
	})
}

func (g *group) number(key, about, unit string, def, lowest, highest float64, place func(*Settings) *float64) {
	g.add(field{
		key:     key,
		about:   about,
		unit:    unit,
		allowed: fmt.Sprintf("a number (%s) from %g to %g", unit, lowest, highest),
		text:    fmt.Sprint(def),
		set:     target(inRange(parseNumber, lowest, highest), place),
	})
}

func (g *group) word(key, about, def string, words []string, place func(*Settings) *string) {
	g.add(field{
		key:     key,
		about:   about,
		unit:    "word",
		allowed: strings.Join(words, ", "),
		text:    def,
		set:     target(choice(words...), place),
	})
}

func (g *group) listenAddr(key, about, example string, place func(*Settings) *string) {
	g.add(field{
		key:      key,
		about:    about,
		unit:     "IP:port",
		allowed:  allowedListenAddr,
		text:     example,
		required: true,
		set:      target(parseListenAddr, place),
	})
}

// requiredAddr adds the address of a peer that a kind of platform has.
func (g *group) requiredAddr(kind, key, about, example string, place func(*Settings) *string) {
	g.add(field{
		key:      key,
		about:    about,
		unit:     "IP:port",
		allowed:  allowedAddr,
		text:     example,
		required: true,
		kind:     kind,
		set:      target(parseAddr, place),
	})
}
