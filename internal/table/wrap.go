package table

import (
	"fmt"
	"strings"
)

func count(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// endList takes the last comma off a list, or says that nothing changes.
func endList(words []string) []string {
	last := len(words) - 1
	if before, found := strings.CutSuffix(words[last], ","); found {
		words[last] = before
		return words
	}
	return append(words, "nothing changes")
}

// wrap joins words to lines of at most lineColumns. A longer word is split.
func wrap(words []string) string {
	var lines []string
	line := ""
	for _, w := range words {
		if line != "" && w != ";" && len(line)+1+len(w) > lineColumns {
			lines = append(lines, line)
			line = ""
		}
		if line != "" && w != ";" {
			line += " "
		}
		line += w
		for len(line) > lineColumns {
			lines = append(lines, line[:lineColumns])
			line = line[lineColumns:]
		}
	}
	return strings.Join(append(lines, line), "\n")
}
