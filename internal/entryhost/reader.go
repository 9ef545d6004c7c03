package entryhost

import (
	"context"
	"time"

	"sequoiafork/internal/era"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/peer"
	"sequoiafork/internal/pollpace"
	"sequoiafork/internal/topic"
)

// Follow returns a follower of a topic, which Run does not start. Peers can read the topic from
// this daemon while the follower reads it from the store. cfg.Peers and cfg.Breaker are set here.
func (d *Daemon) Follow(cfg topic.Config) *topic.Follower { return d.readers.Follow(cfg) }

// newReaders returns the readers of a daemon whose members are set.
func (d *Daemon) newReaders() *topic.Readers {
	return topic.NewReaders(topic.ReadersConfig{
		Self:     d.members.Self(),
		Members:  d.members.Members,
		Excluded: func() string { return excludedReader(d.members.Members(), d.submitter.owner()) },
		Read: func(ctx context.Context, m membership.Member, name string, from era.Position, wait time.Duration) (topic.Page, error) {
			return d.node.ReadTopic(ctx, m, name, from, wait)
		},
		ReadNewest: func(ctx context.Context, m membership.Member, name string) (topic.Snapshot, error) {
			return d.node.ReadNewest(ctx, m, name)
		},
		Backoff:    pollpace.ProbeBackoff,
		MaxSilence: d.UpstreamsMaxAge,
	})
}

// minOtherReaders is the number of daemons beside the owner of the stage work that know the routes, from which on
// the owner is not used as reader: the store may turn one of them away.
const minOtherReaders = 2

// excludedReader returns the incarnation of the daemon that is not used as reader, if any: the owner of the stage work,
// which needs its link for that, unless others that start, or that the store turns away, have nobody else to read
// from.
func excludedReader(members []membership.Member, owner membership.Member) string {
	others := 0
	for _, m := range members {
		if m.State == membership.Alive && m.Revision > 0 && m.Incarnation != owner.Incarnation {
			others++
		}
	}
	if others < minOtherReaders {
		return ""
	}
	return owner.Incarnation
}

// topicServer serves the topics that this daemon reads. It implements peer.TopicReader.
type topicServer struct {
	daemon *Daemon
}

// ReadTopic implements peer.TopicReader.
func (s topicServer) ReadTopic(ctx context.Context, name string, from era.Position, wait time.Duration) (topic.Page, error) {
	return s.daemon.readers.Serve(ctx, name, from, wait)
}

// ReadNewest implements peer.TopicReader.
func (s topicServer) ReadNewest(name string) (topic.Snapshot, error) {
	return s.daemon.readers.ServeNewest(name)
}

var _ peer.TopicReader = topicServer{}
