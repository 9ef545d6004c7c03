package settings

import "strings"

// environmentNames returns the variable of each flag, as ff derives it.
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

// checkEnvironment notes variables with the prefix that set nothing.
func (l *loader) checkEnvironment(environ []string) {
	names := l.environmentNames()
	for _, entry := range environ {
		name, value, _ := strings.Cut(entry, "=")
		if strings.HasPrefix(name, l.envPrefix+"_") && !names[name] {
			l.problem("environment", name, value, "unknown variable", l.envPrefix+"_SECTION_KEY of a known section and key")
		}
	}
}

// check fills Settings from the texts and the defaults and notes every problem.
func (l *loader) check() Settings {
	var s Settings
	kind := l.platformKind()
	for i, f := range l.fields {
		given := l.texts[i]
		if !given.given && f.required && f.kind != "" && f.kind != kind {
			continue
		}
		if !given.given && f.required {
			l.problem(f.section, f.key, "", "missing", f.allowed)
			continue
		}
		value := f.text
		if given.given {
			value = given.value
		}
		if err := f.set(&s, value); err != nil {
			reason := "not allowed"
			if value == "" {
				reason = "empty"
			}
			l.problem(f.section, f.key, value, reason, f.allowed)
		}
	}
	l.checkTogether(s)
	return s
}

// platformKind returns the kind of platform that the texts name.
func (l *loader) platformKind() string {
	for i, f := range l.fields {
		if f.section != "platform" || f.key != "kind" {
			continue
		}
		if l.texts[i].given {
			return l.texts[i].value
		}
		return f.text
	}
	return ""
}

// checkTogether notes fields that are allowed alone but not together.
func (l *loader) checkTogether(s Settings) {
	seen := map[string]string{}
	for _, own := range []struct{ key, addr string }{
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
		if own.addr == "" || strings.HasSuffix(own.addr, ":0") {
			continue
		}
		if other, ok := seen[own.addr]; ok {
			l.problem("daemon", own.key, own.addr, "same as "+other, "an address of its own")
		}
		seen[own.addr] = own.key
	}
	if s.Limits.ReadTimeout > 0 && s.Limits.ReadHeaderTimeout > s.Limits.ReadTimeout {
		l.problem("limits", "read_header_timeout", durationText(s.Limits.ReadHeaderTimeout), "longer than read_timeout", "at most "+durationText(s.Limits.ReadTimeout))
	}
}
