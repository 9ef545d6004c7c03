package topic

import (
	"fmt"

	"sequoiafork/internal/era"
)

// EraError reports that the store is in another era than the position from which it was read. Nothing
// that was read there holds.
type EraError struct {
	Topic string
	From  era.Position
	Era   int64
}

// Error returns a message with the topic, the position and the era of the store.
func (e *EraError) Error() string {
	return fmt.Sprintf("topic %s can't be read from position %v: the store is in era %d", e.Topic, e.From, e.Era)
}
