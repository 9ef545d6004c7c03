package upstream

import (
	"math"
	"slices"
	"time"
)

const (
	// eventTimeWeight is the weight of the newest response in the mean time between the events of an upstream.
	eventTimeWeight = 0.2
	// minSpeedSamples is the number of responses from which on an upstream's speed is known.
	minSpeedSamples = 2
	// Speeds are compared in steps of a speedStepsPerDoubling-th of a doubling, up to maxSpeedSteps from the median. A step
	// is left only when the speed is speedHysteresis of a step nearer to another one, since prompts move to
	// other upstreams with it.
	speedStepsPerDoubling = 2
	maxSpeedSteps         = 3
	speedHysteresis       = 0.25
	// speedExponent is the power of its speed with which an upstream attracts prompts. More than in proportion, since
	// the first event waits for the prompt to be read, so that each request is better off at a fast upstream as long
	// as that one is not full.
	speedExponent = 2
)

// speedWeights are the weights of the steps from -maxSpeedSteps to maxSpeedSteps.
var speedWeights = func() (weights [2*maxSpeedSteps + 1]float64) {
	for i := range weights {
		weights[i] = math.Exp2(speedExponent * float64(i-maxSpeedSteps) / speedStepsPerDoubling)
	}
	return weights
}()

// speed is what is known of how fast an upstream produces events for good, apart from momentary disturbances. Its zero
// value knows nothing.
type speed struct {
	// eventTime is the moving mean of the median time between two events of a response, in nanoseconds.
	eventTime float64
	samples   int
	// steps is the number of steps by which the upstream is faster than the median of its group.
	steps int
}

func (s speed) known() bool { return s.samples >= minSpeedSamples }

// observe returns the speed after another response.
func (s speed) observe(eventTime time.Duration) speed {
	if s.samples == 0 {
		s.eventTime = float64(eventTime)
	}
	s.eventTime += eventTimeWeight * (float64(eventTime) - s.eventTime)
	s.samples++
	return s
}

// compare returns the speed with its steps beside the median event time of the group.
func (s speed) compare(median float64) speed {
	steps := speedStepsPerDoubling * math.Log2(median/s.eventTime)
	if math.Abs(steps-float64(s.steps)) > 0.5+speedHysteresis {
		s.steps = min(max(int(math.Round(steps)), -maxSpeedSteps), maxSpeedSteps)
	}
	return s
}

// weight returns the weight with which the upstream attracts prompts.
func (s speed) weight() float64 { return speedWeights[s.steps+maxSpeedSteps] }

// ObserveEventTime records the median time between two events of the response to the attempt.
//
// It answers the load of a pool whose upstreams differ in speed for good, in which prompts that are placed evenly wait
// longest at the slow ones while the fast ones are idle.
func (c Choice) ObserveEventTime(d time.Duration) {
	if c.member == nil || d <= 0 {
		return
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	c.member.speed = c.member.speed.observe(d)
}

// compareSpeeds compares the speeds of the members. While fewer than half are known, all count alike.
func (g *group) compareSpeeds() {
	var times []float64
	for _, m := range g.subset {
		if m.speed.known() {
			times = append(times, m.speed.eventTime)
		}
	}
	if len(times) < 2 || 2*len(times) < len(g.subset) {
		return
	}
	slices.Sort(times)
	median := times[len(times)/2]
	g.maxSpeedWeight = 1
	for _, m := range g.subset {
		if m.speed.known() {
			m.speed = m.speed.compare(median)
			g.maxSpeedWeight = max(g.maxSpeedWeight, m.speed.weight())
		}
	}
}
