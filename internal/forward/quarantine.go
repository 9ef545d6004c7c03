package forward

import (
	"errors"
	"slices"
	"time"

	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/quarantine"
	"sequoiafork/internal/tcp"
	"sequoiafork/internal/upstream"
)

// admit returns a *quarantine.HeldError if the request must not be sent, again or for the first time.
func (x *execution) admit() error {
	if c := x.forwarder.cfg.Quarantine; c != nil && c.Active() {
		return c.Admit(x.withStageInputs(x.quarantineRequest()))
	}
	return nil
}

// withStageInputs adds the keys of the inputs of the request's stages, which end the upstreams of stages and no
// others.
func (x *execution) withStageInputs(req quarantine.Request) quarantine.Request {
	if x.req.InputKey == "" {
		return req
	}
	req.Keys = slices.Clip(req.Keys)
	for _, st := range x.requestStages() {
		if st.Pieces > 0 {
			req.Keys = append(req.Keys, quarantine.StageInputKey(st.Service, x.req.InputKey))
		}
	}
	return req
}

// beginAttempt is admit for an attempt that begins now.
func (x *execution) beginAttempt() error {
	if c := x.forwarder.cfg.Quarantine; c != nil && c.Active() {
		return c.BeginAttempt(x.quarantineRequest())
	}
	return nil
}

// quarantineRequest returns the request with its keys.
func (x *execution) quarantineRequest() quarantine.Request {
	x.keysOnce.Do(func() {
		for i := range x.sharedPartCount() {
			x.keys = append(x.keys, x.partKey(i))
		}
		x.keys = append(x.keys, x.contentKey())
	})
	return quarantine.Request{
		ID:   x.req.ID,
		Keys: x.keys,
	}
}

// sharedPartCount returns the number of parts of the prompt that have keys: all but the last, which no other request
// has.
func (x *execution) sharedPartCount() int {
	return min(max(len(x.req.Prompt)-1, 0), quarantine.MaxParts)
}

// partKey returns the key of a part of the prompt.
func (x *execution) partKey(i int) quarantine.Key {
	return quarantine.PartKey(x.service.Name, x.req.Prompt[i].ID, i)
}

// contentKey returns the key of the request's content.
func (x *execution) contentKey() quarantine.Key {
	return quarantine.ContentKey(quarantine.Content{
		Service:   x.service.Name,
		Workspace: x.workspace.Name,
		Method:    x.req.Method,
		Host:      x.req.Host,
		Target:    x.req.Target,
		Body:      x.req.Body,
	})
}

// recordSuccess records that an attempt has not ended its upstream.
func (x *execution) recordSuccess() {
	c := x.forwarder.cfg.Quarantine
	switch {
	case c == nil:
	case c.Active():
		c.Succeeded(x.quarantineRequest())
	default:
		x.noteSuccess(c)
	}
}

// maxNotedBody is the size in bytes of a body up to which the success of its content is noted without suspects.
const maxNotedBody = 2 << 10

// noteSuccess notes the success for each key of the request. That of a content with a long body is left out, since its
// hash takes time, and it hardly comes again.
func (x *execution) noteSuccess(c Quarantine) {
	for i := range x.sharedPartCount() {
		c.NoteSuccess(x.partKey(i))
	}
	if len(x.req.Body) <= maxNotedBody {
		c.NoteSuccess(x.contentKey())
	}
}

// recordBroken records an attempt that failed since its connection broke, unless its response had settled. first is
// the time from its start to the first event, zero before.
func (x *execution) recordBroken(choice upstream.Choice, began time.Time, first time.Duration, failure *pipeline.CallError) {
	c := x.forwarder.cfg.Quarantine
	if c == nil || failure.Execution < pipeline.MayHaveRun || !connectionBroke(failure.Err) || hasSettled(began, first) {
		return
	}
	c.Broke(BrokenAttempt{
		Addr:        choice.Addr,
		Incarnation: choice.Incarnation,
		Request:     x.quarantineRequest(),
		Began:       began,
	})
}

// connectionBroke reports whether an attempt failed since its connection ended.
func connectionBroke(err error) bool { return tcp.Broke(err) || errors.Is(err, errNoEvents) }

// hasSettled reports whether a response has gone on for so long after its first event that its request does not end
// the upstream.
func hasSettled(began time.Time, first time.Duration) bool {
	return first > 0 && time.Since(began.Add(first)) >= quarantine.SettleTime
}
