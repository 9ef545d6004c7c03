// Package topic follows the keyed topics of a store. A keyed topic is a log of records, of which
// the newest one with a key holds the key's value.
//
// One daemon in each data centre reads a topic from the store; the others read from that daemon. A
// daemon that the store does not serve reads from those of other data centres, too.
// Every follower keeps the latest records, so that it can serve others as soon as it is chosen,
// and reads from the store itself whenever the chosen daemon does not respond, has lost the store
// or lacks the records. No daemon relies on another's choice: a follower serves records only
// while it reads from the store itself.
//
// A daemon whose source is silent must not take for current what it knows. Each page therefore says as of when it is
// current, the start of a read from the store, and a follower with a MaxAge gets the next page from elsewhere before
// that age is exceeded.
//
// The store may come back from a copy of itself that is some seconds old. Positions therefore have an
// era, no position of one era is used in another, and a follower that finds a new one reads the newest
// records again.
//
//	f := topic.New(topic.Config{Name: "upstreams", Store: store, Peers: peers, ...})
//	err := f.Run(ctx)
package topic

import (
	"context"
	"fmt"
	"time"

	"sequoiafork/internal/era"
)

// Record is one record of a keyed topic.
type Record struct {
	Key string
	// Value is nil if the record deletes the key or is Unchanged.
	Value []byte
	At    era.Position
	// Unchanged reports that the record says the same as the one before it with its key. Only its
	// position matters then.
	Unchanged bool
}

// Snapshot is the newest record of each key.
type Snapshot struct {
	Records []Record
	// End is where reading continues.
	End era.Position
	// Rewound reports that the store has begun a new era since this process last read the topic: the
	// records may be older than those that were read before, and some may be missing, until they
	// are written again.
	Rewound bool
}

// Page is the result of one read of a topic.
type Page struct {
	// Records are the records from the requested position on, without gaps.
	Records []Record
	// ReachableFor is how long the daemon that read them has read the topic from the store without
	// a failure. It is zero if this process has just read them itself.
	ReachableFor time.Duration
	// CurrentAt is a time at which the records were all that the store had, those before them included. It is zero if the
	// daemon that read them does not say so.
	CurrentAt time.Time
}

// Store reads topics from the store.
type Store interface {
	// Newest returns the newest record of each key. It does not set Snapshot.Rewound.
	Newest(ctx context.Context, topic string) (Snapshot, error)
	// Read returns the records from a position on. It waits for up to wait for the first one and
	// returns none if none arrives. The caller owns the records. The error is an *ExpiredError if
	// they are gone, and an *EraError if the store is in another era.
	Read(ctx context.Context, topic string, from era.Position, wait time.Duration) (Page, error)
}

// Peers reads topics from other daemons.
type Peers interface {
	// ReadTopic reads from the daemon that reads for this one, as Store.Read does. The error is
	// an *OwnReadError if this process is to read from the store itself, and a *NotCurrentError if
	// no daemon that was asked reads it now.
	ReadTopic(ctx context.Context, topic string, from era.Position, wait time.Duration) (Page, error)
	// ReadNewest returns the newest records as another daemon knows them, which may not have read the
	// store for some time.
	ReadNewest(ctx context.Context, topic string) (Snapshot, error)
}

// TooLargeError reports that the newest records of a topic are too large to be served to another daemon.
type TooLargeError struct {
	Topic string
	Bytes int
}

// Error returns a message with the topic and the size.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the newest records of topic %s have %d bytes, too many for a peer", e.Topic, e.Bytes)
}

// ExpiredError reports that the records at a position are gone.
type ExpiredError struct {
	Topic string
	From  era.Position
	// First is the offset of the first record that is kept, if that is known: it is beyond that of From then.
	First int64
}

// Error returns a message with the topic and the position.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records of topic %s at position %v have expired", e.Topic, e.From)
}

// OwnReadError reports that this process has no other daemon to read from.
type OwnReadError struct{}

// Error implements error.
func (*OwnReadError) Error() string { return "this daemon reads from the store itself" }

// NotCurrentError reports that a daemon does not read a topic from the store, or has lost it.
type NotCurrentError struct {
	Topic string
	// Reader is the incarnation of the daemon from which that one reads the topic, empty if there
	// is none.
	Reader string
}

// Error returns a message with the topic.
func (e *NotCurrentError) Error() string {
	return fmt.Sprintf("topic %s is not read from the store here", e.Topic)
}
