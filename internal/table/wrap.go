package table

import "strings"

// maxLineColumns is the number of columns that fit a phone's screen.
const maxLineColumns = 40

// wrap breaks a text into lines of at most maxLineColumns bytes, which are columns if the
// text is ASCII. A longer word is split.
func wrap(text string) string {
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(line)+1+len(word) > maxLineColumns {
			lines = append(lines, line)
			line = ""
		}
		if line != "" {
			line += " "
		}
		line += word
		for len(line) > maxLineColumns {
			lines = append(lines, line[:maxLineColumns])
			line = line[maxLineColumns:]
		}
	}
	return strings.Join(append(lines, line), "\n")
}
