package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/era"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/topic"
	"sequoiafork/internal/wire/peerpb"
)

// TopicReader serves the topics of the platform's store that this process reads.
type TopicReader interface {
	// ReadTopic returns the records from a position on, as topic.Follower.ReadTopic does.
	ReadTopic(ctx context.Context, name string, from era.Position, wait time.Duration) (topic.Page, error)
	// ReadNewest returns the newest records, as topic.Follower.Newest does.
	ReadNewest(name string) (topic.Snapshot, error)
}

// ReadTopic reads records of a topic from a member. The error is a *topic.ExpiredError if the
// member no longer has them, a *topic.NotCurrentError if it does not read them from the store now,
// and otherwise a *CallError.
func (n *Node) ReadTopic(ctx context.Context, m membership.Member, name string, from era.Position, wait time.Duration) (topic.Page, error) {
	began := time.Now()
	resp, err := call(ctx, n, m.PeerAddr, peerpb.PeerClient.ReadTopic, &peerpb.ReadTopicRequest{
		Topic:  name,
		From:   from.Offset,
		Era:    from.Era,
		WaitMs: wait.Milliseconds(),
	})
	if status.Code(err) == codes.FailedPrecondition {
		return topic.Page{}, &topic.NotCurrentError{
			Topic:  name,
			Reader: readerFrom(err),
		}
	}
	if err != nil {
		return topic.Page{}, err
	}
	if resp.GetExpired() {
		return topic.Page{}, &topic.ExpiredError{
			Topic: name,
			From:  from,
		}
	}
	page := topic.Page{
		Records:      topicRecords(resp.GetRecords(), from),
		ReachableFor: time.Duration(resp.GetReachableMs()) * time.Millisecond,
	}
	if resp.CurrentMs != nil {
		page.CurrentAt = began.Add(-time.Duration(resp.GetCurrentMs()) * time.Millisecond) // The request arrived later.
	}
	return page, nil
}

// ReadTopic serves records to a peer.
func (s *server) ReadTopic(ctx context.Context, req *peerpb.ReadTopicRequest) (*peerpb.ReadTopicResponse, error) {
	if s.node.cfg.Topics == nil {
		return nil, status.Error(codes.Unavailable, "no topics here")
	}
	from := era.Position{
		Era:    req.GetEra(),
		Offset: req.GetFrom(),
	}
	arrived := time.Now()
	page, err := s.node.cfg.Topics.ReadTopic(ctx, req.GetTopic(), from, time.Duration(req.GetWaitMs())*time.Millisecond)
	var expired *topic.ExpiredError
	var notCurrent *topic.NotCurrentError
	switch {
	case errors.As(err, &notCurrent):
		return nil, notReadError(notCurrent)
	case errors.As(err, &expired):
		return &peerpb.ReadTopicResponse{
			Expired: true,
		}, nil
	case err != nil:
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	resp := &peerpb.ReadTopicResponse{
		ReachableMs: page.ReachableFor.Milliseconds(),
	}
	if !page.CurrentAt.IsZero() {
		const round = time.Millisecond - 1 // Up, to the older time.
		resp.CurrentMs = proto.Int64((arrived.Sub(page.CurrentAt) + round).Milliseconds())
	}
	for _, r := range page.Records {
		resp.Records = append(resp.Records, &peerpb.TopicRecord{
			Key:       []byte(r.Key),
			Value:     r.Value,
			Deleted:   r.Value == nil && !r.Unchanged,
			Unchanged: r.Unchanged,
		})
	}
	return resp, nil
}

// notReadError returns the error of a call for a topic that is not read from the store here.
func notReadError(e *topic.NotCurrentError) error {
	st := status.New(codes.FailedPrecondition, e.Error())
	detailed, err := st.WithDetails(&peerpb.TopicNotRead{
		Reader: e.Reader,
	})
	if err != nil { // Only a status OK can't have details.
		return st.Err()
	}
	return detailed.Err()
}

// readerFrom returns the reader that the error of a call names, or "".
func readerFrom(err error) string {
	for _, detail := range status.Convert(err).Details() {
		if d, ok := detail.(*peerpb.TopicNotRead); ok {
			return d.GetReader()
		}
	}
	return ""
}

// ReadNewest reads the newest records of a topic from a member. The error is a *CallError.
func (n *Node) ReadNewest(ctx context.Context, m membership.Member, name string) (topic.Snapshot, error) {
	resp, err := call(ctx, n, m.PeerAddr, peerpb.PeerClient.ReadNewest, &peerpb.ReadNewestRequest{
		Topic: name,
	})
	if err != nil {
		return topic.Snapshot{}, err
	}
	s := topic.Snapshot{
		End: era.Position{
			Era:    resp.GetEra(),
			Offset: resp.GetEnd(),
		},
	}
	for _, r := range resp.GetRecords() {
		s.Records = append(s.Records, topic.Record{
			Key:   string(r.GetKey()),
			Value: append([]byte{}, r.GetValue()...), // Never nil.
			At:    s.End.WithOffset(r.GetOffset()),
		})
	}
	return s, nil
}

// ReadNewest serves the newest records to a peer.
func (s *server) ReadNewest(_ context.Context, req *peerpb.ReadNewestRequest) (*peerpb.ReadNewestResponse, error) {
	if s.node.cfg.Topics == nil {
		return nil, status.Error(codes.Unavailable, "no topics here")
	}
	snapshot, err := s.node.cfg.Topics.ReadNewest(req.GetTopic())
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	resp := &peerpb.ReadNewestResponse{
		Era: snapshot.End.Era,
		End: snapshot.End.Offset,
	}
	for _, r := range snapshot.Records {
		resp.Records = append(resp.Records, &peerpb.TopicRecord{
			Key:    []byte(r.Key),
			Value:  r.Value,
			Offset: r.At.Offset,
		})
	}
	return resp, nil
}

// topicRecords converts records whose first one is at position from.
func topicRecords(list []*peerpb.TopicRecord, from era.Position) []topic.Record {
	records := make([]topic.Record, len(list))
	for i, r := range list {
		records[i] = topic.Record{
			Key:       string(r.GetKey()),
			At:        from.WithOffset(from.Offset + int64(i)),
			Unchanged: r.GetUnchanged(),
		}
		if !r.GetDeleted() && !r.GetUnchanged() {
			records[i].Value = append([]byte{}, r.GetValue()...) // Never nil.
		}
	}
	return records
}
