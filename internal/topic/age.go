package topic

import (
	"fmt"
	"math"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// responseTime is for how long a response may be under way when its sender does not wait for a record.
const responseTime = 150 * time.Millisecond

// expiredTotal counts how often what was known of a topic became too old, so that the store was read at once.
func expiredTotal(topic string) *metrics.Counter {
	return metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiafork_topic_expired_total{topic=%q}`, topic))
}

// forever is longer than any wait.
const forever = time.Duration(math.MaxInt64)

// freshFor returns for how long what is known still counts as current, or how much too old it is as a negative number.
func (f *Follower) freshFor() time.Duration {
	if f.cfg.MaxAge == nil {
		return forever
	}
	return f.cfg.MaxAge() - time.Since(f.currentAt)
}

// freshWait returns how long a read that would wait for a record may do so, before what is known is too old.
func (f *Follower) freshWait(wait time.Duration) time.Duration {
	return min(wait, max(f.freshFor()-responseTime, 0))
}
