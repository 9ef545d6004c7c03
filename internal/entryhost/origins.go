package entryhost

import (
	"context"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"sequoiafork/internal/membership"
	"sequoiafork/internal/routing"
	"sequoiafork/internal/streamorigin"
	"sequoiafork/internal/upstream"
)

const (
	// announceDelay is how long origins of streams are gathered before they are announced.
	announceDelay = 20 * time.Millisecond
	// announceTimeout bounds the announcement to one peer.
	announceTimeout = 500 * time.Millisecond
	// newcomerInterval is how often peers are looked for that have joined.
	newcomerInterval = 200 * time.Millisecond
	// queryOriginTimeout bounds the time in which peers are asked for the origin of a stream.
	queryOriginTimeout = 150 * time.Millisecond
	// retentionFactor is the multiple of the longest timeout of a stream for which its caller may come back,
	// and minRetention the least such time.
	retentionFactor = 2
	minRetention    = 10 * time.Second
)

var (
	originsAnnouncedTotal = metrics.GetOrCreateCounter("sequoiafork_stream_origins_announced_total")
	originQueriesTotal    = metrics.GetOrCreateCounter("sequoiafork_stream_origin_queries_total")
)

// origins finds the origins of streams at this daemon and its peers. It implements forward.StreamOrigins.
type origins struct {
	*streamorigin.Table
	daemon *Daemon
	// log is nil if nothing outlasts the daemons.
	log *originLog
}

// Find implements forward.StreamOrigins. It asks peers unless this daemon knows the stream, then reads what outlasts all
// daemons, and remembers the origin for the next try of the caller. An empty ID means that the caller doesn't name the
// request, so that nobody can know the stream.
func (o origins) Find(ctx context.Context, requestID, service string) (streamorigin.Origin, error) {
	own := o.Ask(requestID, service)
	if own.Known {
		o.Begin(requestID, own.Origin)
		return own.Origin, nil
	}
	peers, unanswered := o.queryPeers(ctx, requestID, service)
	origin, known := streamorigin.FindKnown(peers)
	var err error
	switch {
	case known:
	case o.log != nil:
		origin, err = o.findRecorded(ctx, requestID, service, peers)
	default:
		origin, err = streamorigin.DecideByPeers(service, own, peers, unanswered)
	}
	if err == nil && requestID != "" {
		o.Begin(requestID, origin)
	}
	o.daemon.logger.Info("origin of a stream asked for", zap.String("begun_by", requestID), zap.String("service", service),
		zap.Int("answers", len(peers)), zap.Int("unanswered", unanswered), zap.Bool("known_by_peer", known),
		zap.String("version", origin.Version), zap.Error(err))
	return origin, err
}

// findRecorded returns the origin of a stream that neither this daemon nor its peers know, after it has read all that was
// recorded and listed until now: this daemon may have been cut off from the others, or have stood still, while they
// learned of a version.
func (o origins) findRecorded(ctx context.Context, requestID, service string, peers []streamorigin.Answer) (streamorigin.Origin, error) {
	origin, ok, err := o.log.find(ctx, requestID)
	if err != nil {
		return streamorigin.Origin{}, &streamorigin.UnknownError{
			Service: service,
			Cause:   err,
		}
	}
	if ok {
		return origin, nil
	}
	return streamorigin.DecideByRecords(service, o.Ask(requestID, service), peers)
}

// queryPeers returns the answers of the peers to which a stream may have been announced, and the number of those that
// did not answer. It ends early when one of them knows the stream.
func (o origins) queryPeers(ctx context.Context, requestID, service string) (answers []streamorigin.Answer, unanswered int) {
	ctx, cancel := context.WithTimeout(ctx, queryOriginTimeout)
	defer cancel()
	living := o.daemon.living()
	asked := streamorigin.AskOf(requestID, o.daemon.members.Self().Incarnation, names(living))
	results := make(chan queryResult, len(asked))
	for _, m := range living {
		if slices.Contains(asked, m.Incarnation) {
			go func() { results <- o.query(ctx, m, requestID, service) }()
		}
	}
	for range asked {
		r := <-results
		if r.err != nil {
			unanswered++
			o.daemon.logger.Info("peer not asked for the origin of a stream", zap.String("begun_by", requestID), zap.Error(r.err))
			continue
		}
		answers = append(answers, r.answer)
		if r.answer.Known {
			break
		}
	}
	return answers, unanswered
}

// queryResult is the answer of a peer, or why there is none.
type queryResult struct {
	answer streamorigin.Answer
	err    error
}

func (o origins) query(ctx context.Context, m membership.Member, requestID, service string) queryResult {
	originQueriesTotal.Inc()
	answer, err := o.daemon.node.QueryOrigin(ctx, m, requestID, service)
	return queryResult{
		answer: answer,
		err:    err,
	}
}

// announceLoop announces the origins of streams to peers, also to those that join later, until ctx ends.
func (o origins) announceLoop(ctx context.Context) error {
	ticker := time.NewTicker(newcomerInterval)
	defer ticker.Stop()
	known := make(map[string]bool)
	for {
		select {
		case <-o.Wake():
		case <-ticker.C:
			known = o.tellNewcomers(ctx, known)
			continue
		case <-ctx.Done():
			return ctx.Err()
		}
		select {
		case <-time.After(announceDelay):
		case <-ctx.Done():
			return ctx.Err()
		}
		o.announce(ctx, o.TakeUnannounced())
	}
}

// tellNewcomers announces origins to the living peers that are not in known, and returns the living ones.
func (o origins) tellNewcomers(ctx context.Context, known map[string]bool) map[string]bool {
	living := o.daemon.living()
	self := o.daemon.members.Self().Incarnation
	found := make(map[string]bool, len(living))
	for _, m := range living {
		found[m.Incarnation] = true
		if known[m.Incarnation] || m.Incarnation == self {
			continue
		}
		if list := o.EntriesFor(m.Incarnation, self, names(living)); len(list) > 0 {
			go o.announceTo(ctx, m, list)
		}
	}
	return found
}

// announce sends each entry to its peers, one message for each peer.
func (o origins) announce(ctx context.Context, list []streamorigin.Entry) {
	living := o.daemon.living()
	self := o.daemon.members.Self().Incarnation
	living = slices.DeleteFunc(living, func(m membership.Member) bool { return m.Incarnation == self })
	candidates := names(living)
	byPeer := make(map[string][]streamorigin.Entry)
	for _, e := range list {
		for _, peer := range streamorigin.AnnounceTo(e.RequestID, self, candidates) {
			byPeer[peer] = append(byPeer[peer], e)
		}
	}
	for _, m := range living {
		if entries := byPeer[m.Incarnation]; len(entries) > 0 {
			go o.announceTo(ctx, m, entries)
		}
	}
}

func (o origins) announceTo(ctx context.Context, m membership.Member, list []streamorigin.Entry) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := o.daemon.node.AnnounceOrigins(ctx, m, list); err != nil {
		o.daemon.logger.Info("origins of streams not announced to a peer", zap.Int("streams", len(list)), zap.Error(err))
		return
	}
	originsAnnouncedTotal.Add(len(list))
}

// observeVersions records the versions of the upstreams that are listed.
func (o origins) observeVersions(hosts []upstream.Host) {
	listed := make(map[streamorigin.Origin]bool)
	for _, h := range hosts {
		listed[streamorigin.Origin{
			Service: h.Service,
			Version: h.Version,
		}] = true
	}
	var versions []streamorigin.Origin
	for v := range listed {
		versions = append(versions, v)
	}
	o.ObserveUpstreams(versions)
}

// retentionOf returns the time for which callers may come back for a stream of a table's routes.
func retentionOf(t *routing.Table) time.Duration {
	return max(retentionFactor*t.LongestTimeout(routing.ResumableStream), minRetention)
}

// living returns the members that are alive.
func (d *Daemon) living() []membership.Member {
	return slices.DeleteFunc(d.members.Members(), func(m membership.Member) bool { return m.State != membership.Alive })
}

func names(members []membership.Member) []string {
	list := make([]string, len(members))
	for i, m := range members {
		list[i] = m.Incarnation
	}
	return list
}

// SetUpstreamsReadable records whether the list of upstreams can be read, so that new ones are learned.
func (d *Daemon) SetUpstreamsReadable(readable bool) { d.origins.SetReadable(readable) }
