package topic

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"sequoiafork/internal/panics"
)

// readPeer reads the next records from another daemon. It returns before what is known is too old, so that there is time
// for a read from the store.
func (f *Follower) readPeer(ctx context.Context) error {
	if fresh := f.freshFor(); fresh > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, fresh)
		defer cancel()
	}
	page, err := f.cfg.Peers.ReadTopic(ctx, f.cfg.Name, f.next, f.pollTimeout())
	if err != nil {
		return err
	}
	f.applyPeerPage(page)
	return nil
}

// applyPeerPage applies the next records, which another daemon reads from the store.
func (f *Follower) applyPeerPage(page Page) {
	f.tail.setReadAt(time.Time{})
	f.markReachable(page.ReachableFor)
	f.markReachedByPeer(page.CurrentAt)
	f.apply(page.Records)
}

// readStore reads the next records from the store. If that takes so long that what is known becomes too old, another daemon
// is asked meanwhile: the store may serve that one.
func (f *Follower) readStore(ctx context.Context) error {
	began := time.Now()
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	other := f.askIfOverdue(ctx, cancel)
	page, err := f.cfg.Store.Read(callCtx, f.cfg.Name, f.next, f.freshWait(f.storePollTimeout()))
	if err == nil || isPositionGone(err) {
		other.stop()
	}
	if isPositionGone(err) {
		if newestErr := f.readNewest(ctx); newestErr != nil {
			return errors.Join(newestErr, err)
		}
		return nil
	}
	f.reportStore(began, err)
	if err == nil {
		f.apply(page.Records)
		return nil
	}
	if page, ok := other.page(); ok {
		f.cfg.Logger.Info("the store is silent, reading from a peer", zap.String("topic", f.cfg.Name))
		f.applyPeerPage(page)
		return nil
	}
	return err
}

// peerQuery asks another daemon for the next records while a read from the store is overdue.
type peerQuery struct {
	// timer begins the query. It is nil if there is none.
	timer *time.Timer
	// answers gets the page, or is closed if there is none.
	answers chan Page
}

// askIfOverdue returns a query that begins when a read from the store that begins now takes too long. If it gets a page, it
// ends that read with cancel.
func (f *Follower) askIfOverdue(ctx context.Context, cancel context.CancelFunc) peerQuery {
	if f.cfg.MaxAge == nil {
		return peerQuery{}
	}
	answers := make(chan Page, 1) // A page that nobody waits for blocks nothing.
	name, next := f.cfg.Name, f.next
	ask := func() {
		defer close(answers)
		f.cfg.Breaker.Overdue()
		page, err := panics.Value(f.cfg.Logger, "topic_peer", func() (Page, error) { return f.cfg.Peers.ReadTopic(ctx, name, next, 0) })
		if err == nil {
			answers <- page
			cancel()
		}
	}
	return peerQuery{
		timer:   time.AfterFunc(max(f.freshFor(), responseTime), ask),
		answers: answers,
	}
}

// stop ends the wait for the time at which the query begins, and reports whether it had not come.
func (q peerQuery) stop() bool { return q.timer == nil || q.timer.Stop() }

// page returns the page that the query got, and false if there is none or it has not begun.
func (q peerQuery) page() (Page, bool) {
	if q.stop() {
		return Page{}, false
	}
	page, ok := <-q.answers
	return page, ok
}

// reportStore records whether a read from the store that began at a time succeeded.
func (f *Follower) reportStore(began time.Time, err error) {
	f.calledStore = true
	f.cfg.Breaker.Report(began, err == nil)
	if err != nil {
		f.tail.setReadAt(time.Time{})
		return
	}
	f.markReachable(0)
	f.reachedAt = time.Now()
	f.currentAt = began // A record that came later may not have ended the wait.
	f.tail.setReadAt(began)
}

// markReachedByPeer records that another daemon reads the topic, whose records were all that the store had at a time, zero
// if that is not known.
func (f *Follower) markReachedByPeer(currentAt time.Time) {
	f.currentAt = latest(f.currentAt, currentAt)
	if currentAt.IsZero() {
		currentAt = time.Now().Add(-currentFor)
	}
	f.reachedAt = latest(f.reachedAt, currentAt)
}
