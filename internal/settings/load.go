package settings

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/peterbourgon/ff/v3"
	"gopkg.in/ini.v1"
)

// CommandLine is the parsed command line of the daemon.
type CommandLine struct {
	// Path is the settings file.
	Path string
	// Check requests that the settings be checked and nothing be started.
	Check bool
	// Example requests that the example file be printed.
	Example  bool
	Settings Settings
}

// ParseCommandLine reads the daemon's command line: -config FILE, -check, -example
// and a flag for each key. Usage is written to output. The error is
// flag.ErrHelp, a *ProblemsError, or the reason why the file can't be read.
func ParseCommandLine(args []string, envPrefix string, output io.Writer) (CommandLine, error) {
	l := newLoader(envPrefix, output)
	var c CommandLine
	l.flags.StringVar(&c.Path, "config", "", "settings file")
	l.flags.BoolVar(&c.Check, "check", false, "check the settings and start nothing")
	l.flags.BoolVar(&c.Example, "example", false, "print an example settings file")
	s, err := l.load(&c.Path, args)
	if c.Example {
		return c, nil
	}
	c.Settings = s
	return c, err
}

// Load reads the settings from the file at path, unless path is empty, then from
// the environment variables that begin with envPrefix, unless it is empty, and
// from args, which are flags. It returns a *ProblemsError with all problems.
func Load(path string, args []string, envPrefix string) (Settings, error) {
	return newLoader(envPrefix, io.Discard).load(&path, args)
}

// Default returns the default settings. Required fields are left empty.
func Default() Settings {
	var s Settings
	for _, f := range schema() {
		if f.required {
			continue
		}
		if err := f.set(&s, f.defaultText); err != nil {
			panic(fmt.Sprintf("settings: default of [%s] %s: %v", f.section, f.key, err))
		}
	}
	return s
}

// flagValue is the unparsed value of a flag. It is checked later, so that all problems can
// be reported together.
type flagValue struct {
	value string
	isSet bool
}

// String implements flag.Value.
func (t *flagValue) String() string {
	return t.value
}

// Set implements flag.Value.
func (t *flagValue) Set(value string) error {
	t.value = strings.TrimSpace(value)
	t.isSet = true
	return nil
}

// loader collects the values of all fields from the file, the environment and the flags.
type loader struct {
	fields    []field
	values    []flagValue
	flags     *flag.FlagSet
	envPrefix string
	problems  []Problem
}

func newLoader(envPrefix string, output io.Writer) *loader {
	fields := schema()
	l := &loader{
		fields:    fields,
		values:    make([]flagValue, len(fields)),
		flags:     flag.NewFlagSet("sequoiaforkd", flag.ContinueOnError),
		envPrefix: envPrefix,
	}
	l.flags.SetOutput(output)
	for i, f := range fields {
		l.flags.Var(&l.values[i], f.flagName(), f.description)
	}
	return l
}

func (l *loader) load(path *string, args []string) (Settings, error) {
	options := []ff.Option{
		ff.WithConfigFileVia(path),
		ff.WithConfigFileParser(l.parseFile),
	}
	if l.envPrefix != "" {
		options = append(options, ff.WithEnvVarPrefix(l.envPrefix))
		l.checkEnvironment(os.Environ())
	}
	if err := ff.Parse(l.flags, args, options...); err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	for _, arg := range l.flags.Args() {
		l.addProblem("flags", "", arg, "not a flag", "only flags; see -h")
	}
	s := l.check()
	if len(l.problems) > 0 {
		return Settings{}, &ProblemsError{
			Problems: l.problems,
		}
	}
	return s, nil
}

func (l *loader) addProblem(section, key, value, reason, allowed string) {
	l.problems = append(l.problems, Problem{
		Section: section,
		Key:     key,
		Value:   value,
		Reason:  reason,
		Allowed: allowed,
	})
}

// parseFile calls set for the known keys of an INI file and reports the others.
func (l *loader) parseFile(r io.Reader, set func(name, value string) error) error {
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SkipUnrecognizableLines:    false,
	}, io.NopCloser(r))
	if err != nil {
		return fmt.Errorf("parse settings file: %w", err)
	}
	for _, section := range file.Sections() {
		keys := l.sectionKeys(section.Name())
		if len(keys) == 0 && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			l.addProblem(section.Name(), "", "", "unknown section", strings.Join(l.sections(), ", "))
			continue
		}
		for _, key := range section.Keys() {
			if err := l.parseKey(section.Name(), key, keys, set); err != nil {
				return err
			}
		}
	}
	return nil
}

func (l *loader) parseKey(section string, key *ini.Key, known []string, set func(name, value string) error) error {
	if !slices.Contains(known, key.Name()) {
		l.addProblem(section, key.Name(), key.Value(), "unknown key", strings.Join(known, ", "))
		return nil
	}
	if values := key.ValueWithShadows(); len(values) > 1 {
		l.addProblem(section, key.Name(), strings.Join(values, " and "), "written more than once", "each key once")
	}
	return set(section+"."+key.Name(), key.Value())
}

func (l *loader) sections() []string {
	var names []string
	for _, f := range l.fields {
		if !slices.Contains(names, f.section) {
			names = append(names, f.section)
		}
	}
	return names
}

func (l *loader) sectionKeys(section string) []string {
	var keys []string
	for _, f := range l.fields {
		if f.section == section {
			keys = append(keys, f.key)
		}
	}
	return keys
}
