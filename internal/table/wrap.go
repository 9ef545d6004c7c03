package table

import "strings"

// lineColumns is the width of a phone's line.
const lineColumns = 40

// wrap breaks a text into lines of at most lineColumns. A longer word is split.
func wrap(text string) string {
	var lines []string
	line := ""
	for _, word := range strings.Fields(text) {
		if line != "" && len(line)+1+len(word) > lineColumns {
			lines = append(lines, line)
			line = ""
		}
		if line != "" {
			line += " "
		}
		line += word
		for len(line) > lineColumns {
			lines = append(lines, line[:lineColumns])
			line = line[lineColumns:]
		}
	}
	return strings.Join(append(lines, line), "\n")
}
