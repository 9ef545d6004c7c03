package fold

// editOutcomes holds the outcomes of the latest edits by ID, which makes edits idempotent.
type editOutcomes struct {
	byID map[string]EditOutcome
	// order holds the IDs in offset order.
	order []string
}

func (w *editOutcomes) add(o EditOutcome) {
	if w.byID == nil {
		w.byID = make(map[string]EditOutcome)
	}
	w.byID[o.ID] = o
	w.order = append(w.order, o.ID)
}

// expire removes and returns outcomes older than the given time, and the oldest ones
// beyond the limit.
func (w *editOutcomes) expire(limit int, beforeMs int64) []EditOutcome {
	var removed []EditOutcome
	for len(w.order) > 0 {
		oldest := w.byID[w.order[0]]
		if len(w.order) <= limit && oldest.TimeMs >= beforeMs {
			break
		}
		removed = append(removed, oldest)
		delete(w.byID, oldest.ID)
		w.order = w.order[1:]
	}
	return removed
}
