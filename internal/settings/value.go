package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

var (
	errNotAllowed = errors.New("not allowed")

	namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,63}$`)
)

const allowedName = "1 to 64 of a-z, 0-9, '.', '_' and '-', beginning with a letter or digit"

func parseName(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", errNotAllowed
	}
	return text, nil
}

const allowedListenAddr = "the host's own IP:port such as 192.0.2.10:7001, no host name; port 0 lets the system choose"

func parseListenAddr(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return "", errNotAllowed
	}
	return text, nil
}

const allowedAddr = "IP:port such as 192.0.2.10:7001, no host name"

func parseAddr(text string) (string, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 || addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return "", errNotAllowed
	}
	return text, nil
}

func parseOptionalAddr(text string) (string, error) {
	if text == "" {
		return "", nil
	}
	return parseAddr(text)
}

const allowedAddrs = "IP:port addresses separated by commas, no host names; may be empty"

func parseAddrs(text string) ([]string, error) {
	if strings.TrimSpace(text) == "" {
		return nil, nil
	}
	var addrs []string
	for part := range strings.SplitSeq(text, ",") {
		addr, err := parseAddr(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		addrs = append(addrs, addr)
	}
	return addrs, nil
}

// numeric is a type of value that can be limited to a range.
type numeric interface {
	~int64 | ~float64
}

// inRange returns a parser that also rejects values outside [lowest, highest].
func inRange[T numeric](parse func(string) (T, error), lowest, highest T) func(string) (T, error) {
	return func(text string) (T, error) {
		v, err := parse(text)
		if err != nil || !(v >= lowest && v <= highest) {
			return v, errNotAllowed
		}
		return v, nil
	}
}

func parseInteger(text string) (int64, error) {
	return strconv.ParseInt(text, 10, 64)
}

func parseNumber(text string) (float64, error) {
	return strconv.ParseFloat(text, 64)
}

func allowedDuration(lowest, highest time.Duration) string {
	return fmt.Sprintf("a duration with its unit (ms, s, m or h) from %s to %s", formatDuration(lowest), formatDuration(highest))
}

// formatDuration formats a duration without trailing zero units: 1h, not 1h0m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// oneOf returns a parser that accepts only the given values.
func oneOf(values ...string) func(string) (string, error) {
	return func(text string) (string, error) {
		if !slices.Contains(values, text) {
			return "", errNotAllowed
		}
		return text, nil
	}
}
