package settings

import (
	"fmt"
	"strings"
)

const exampleHeader = `# Settings of sequoiaforkd: every key with its unit and its default.
# A key marked "required" has no default; its value here is an example.
# Each key is also a flag (-limits.max_in_flight 100) and an environment
# variable (SEQUOIAFORKD_LIMITS_MAX_IN_FLIGHT=100). A flag takes precedence over
# the environment, which takes precedence over this file.
# Check a file without starting anything: sequoiaforkd -config FILE -check
`

// Example returns a settings file with every key, its unit and its default.
func Example() string {
	var b strings.Builder
	b.WriteString(exampleHeader)
	section := ""
	for _, f := range schema() {
		if f.section != section {
			section = f.section
			fmt.Fprintf(&b, "\n[%s]\n", section)
		}
		suffix := ""
		if f.required {
			suffix = " Required."
		}
		fmt.Fprintf(&b, "# %s%s\n# Unit: %s. Allowed: %s.\n", f.description, suffix, f.unit, f.allowed)
		b.WriteString(strings.TrimSpace(f.key+" = "+f.defaultText) + "\n")
	}
	return b.String()
}
