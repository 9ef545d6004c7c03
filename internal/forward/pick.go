package forward

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"sequoiafork/internal/logging"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/stagework"
	"sequoiafork/internal/table"
	"sequoiafork/internal/upstream"
)

// affinity returns the hash of the longest prompt prefix that other requests may share,
// or zero if there is none.
func (x *execution) affinity() uint64 {
	if !x.route.SharedPromptPrefixes || len(x.req.Prompt) < 2 {
		return 0
	}
	return xxhash.Sum64String(x.req.Prompt[len(x.req.Prompt)-2].ID)
}

// pool returns the upstreams of the request's service.
func (x *execution) pool() *table.Pool {
	slots := 0
	if x.service.Engine != nil {
		slots = x.service.Engine.Slots
	}
	return &table.Pool{
		Name:        x.service.Name,
		Service:     x.service.Name,
		Concurrency: slots,
	}
}

func (x *execution) upstreamRequest() upstream.Request {
	r := upstream.Request{
		Pool:              x.pool(),
		Affinity:          x.affinity(),
		DataCentreWeights: x.dataCentreWeights(),
		Exclude:           x.tried,
	}
	if x.origin != nil {
		r.Version = x.origin.Version
		r.PinVersion = true
	}
	return r
}

// maxDelay returns how long the request may wait for an upstream that limits its rate: so long that its
// response still starts within the objective or, if stages have run for it, before its caller
// gives up. It is zero without an objective.
func (x *execution) maxDelay() time.Duration {
	until := x.req.Received.Add(x.route.LatencyObjective)
	if x.job != nil {
		until = x.patience()
	}
	if x.route.LatencyObjective <= 0 || x.deadline.Before(until) {
		until = x.deadline
	}
	return max(time.Until(until)-x.firstEventTime(), 0)
}

// dataCentreWeights distributes the prompts of a route with large stage results over the
// data centres in proportion to the upstreams that produce these results, so that few
// results are transferred between data centres.
func (x *execution) dataCentreWeights() map[string]float64 {
	i := slices.IndexFunc(x.route.Stages, func(s routing.Stage) bool { return s.ResultBytes >= stagework.LargeResultBytes })
	if i < 0 || x.service.Engine == nil {
		return nil
	}
	producers := x.forwarder.cfg.Upstreams.LiveByDataCentre(x.route.Stages[i].Service)
	engines := x.forwarder.cfg.Upstreams.LiveByDataCentre(x.service.Name)
	weights := make(map[string]float64, len(engines))
	for centre, n := range engines {
		weights[centre] = max(float64(producers[centre]), minProducers) / float64(n)
	}
	return weights
}

// pickUpstream picks an upstream that has not been tried for this request. The attempt may have to
// wait for up to maxDelay.
func (x *execution) pickUpstream(maxDelay time.Duration) (upstream.Choice, error) {
	r := x.upstreamRequest()
	r.MaxDelay = maxDelay
	return x.pick(r)
}

// pickSpare picks an upstream with a free slot, on a host that has not been tried, for an attempt that is not necessary.
func (x *execution) pickSpare() (upstream.Choice, error) {
	r := x.upstreamRequest()
	r.Spare = true
	return x.pick(r)
}

// pick picks an upstream if the request may be sent to one.
func (x *execution) pick(r upstream.Request) (upstream.Choice, error) {
	if err := x.beginAttempt(); err != nil {
		return upstream.Choice{}, err
	}
	choice, err := x.forwarder.cfg.Upstreams.Pick(r)
	if err != nil {
		return choice, err
	}
	x.tried = append(slices.Clip(x.tried), choice.Addr)
	x.logResumption(choice)
	if len(x.tried) > 1 || logging.Sampled(x.req.ID) {
		x.forwarder.cfg.Logger.Info("upstream chosen",
			zap.String("request_id", x.req.ID), zap.String("upstream", choice.Incarnation), zap.String("data_centre", choice.DataCentre), zap.String("version", choice.Version),
			zap.Int("in_flight", choice.InFlight), zap.Int("attempt", len(x.tried)), zap.Uint64("affinity", x.affinity()),
			zap.Int("inputs", len(x.inputs)), zap.Duration("left_ms", time.Until(x.deadline)), zap.Duration("delay_ms", choice.Delay))
	}
	return choice, nil
}
