package fold

import (
	"fmt"
	"strings"

	"sequoiafork/internal/table"
)

// maxReasonBytes bounds the reason of an outcome, which is stored in snapshots.
const maxReasonBytes = 512

// conflictReason explains a stale base revision. The text is part of the state and of
// its digest.
func conflictReason(base, current uint64) string {
	if current == 0 {
		return fmt.Sprintf("made against revision %d, but the row does not exist", base)
	}
	if base == 0 {
		return fmt.Sprintf("made for a new row, but the row exists with revision %d", current)
	}
	return fmt.Sprintf("made against revision %d, but the row has revision %d", base, current)
}

func joinProblems(problems []table.Problem) string {
	texts := make([]string, 0, len(problems))
	for _, p := range problems {
		texts = append(texts, p.String())
	}
	reason := strings.Join(texts, "; ")
	if len(reason) > maxReasonBytes {
		reason = strings.ToValidUTF8(reason[:maxReasonBytes], "")
	}
	return reason
}
