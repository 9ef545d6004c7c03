package settings

import "strings"

// environmentNames returns the names that package ff derives from the flags.
func (l *loader) environmentNames() map[string]bool {
	names := map[string]bool{
		l.envPrefix + "_CONFIG":  true,
		l.envPrefix + "_CHECK":   true,
		l.envPrefix + "_EXAMPLE": true,
	}
	for _, f := range l.fields {
		names[l.envPrefix+"_"+strings.ToUpper(f.section+"_"+f.key)] = true
	}
	return names
}

// checkEnvironment reports variables with the prefix that name no setting.
func (l *loader) checkEnvironment(environ []string) {
	names := l.environmentNames()
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, l.envPrefix+"_") && !names[name] {
			l.addProblem("environment", name, value, "unknown variable", l.envPrefix+"_SECTION_KEY of a known section and key")
		}
	}
}

// check fills Settings from the given values and the defaults and records every problem.
func (l *loader) check() Settings {
	var s Settings
	kind := l.platformKind()
	for i, f := range l.fields {
		raw := l.values[i]
		if !raw.isSet && f.required && f.platformKind != "" && f.platformKind != kind {
			continue
		}
		if !raw.isSet && f.required {
			l.addProblem(f.section, f.key, "", "missing", f.allowed)
			continue
		}
		value := f.defaultText
		if raw.isSet {
			value = raw.value
		}
		if err := f.set(&s, value); err != nil {
			reason := "not allowed"
			if value == "" {
				reason = "empty"
			}
			l.addProblem(f.section, f.key, value, reason, f.allowed)
		}
	}
	l.checkCombinations(s)
	return s
}

// platformKind returns the configured kind of platform.
func (l *loader) platformKind() string {
	for i, f := range l.fields {
		if f.section != "platform" || f.key != "kind" {
			continue
		}
		if l.values[i].isSet {
			return l.values[i].value
		}
		return f.defaultText
	}
	return ""
}

// checkCombinations reports values that are valid on their own but not together.
func (l *loader) checkCombinations(s Settings) {
	keyByAddr := map[string]string{}
	for _, listen := range []struct{ key, addr string }{
		{
			key:  "caller_addr",
			addr: s.Daemon.CallerAddr,
		},
		{
			key:  "operator_addr",
			addr: s.Daemon.OperatorAddr,
		},
		{
			key:  "peer_addr",
			addr: s.Daemon.PeerAddr,
		},
	} {
		if listen.addr == "" || strings.HasSuffix(listen.addr, ":0") {
			continue
		}
		if other, ok := keyByAddr[listen.addr]; ok {
			l.addProblem("daemon", listen.key, listen.addr, "same as "+other, "a different address")
		}
		keyByAddr[listen.addr] = listen.key
	}
	if s.Limits.ReadTimeout > 0 && s.Limits.ReadHeaderTimeout > s.Limits.ReadTimeout {
		l.addProblem("limits", "read_header_timeout", formatDuration(s.Limits.ReadHeaderTimeout), "longer than read_timeout", "at most "+formatDuration(s.Limits.ReadTimeout))
	}
}
