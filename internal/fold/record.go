package fold

import (
	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/wire/recordpb"
)

// record is a decoded record. Apply decodes before it takes the lock, because a large
// snapshot takes long.
type record struct {
	// message is nil if the record can't be decoded.
	message *recordpb.Record
	// For a record that is a snapshot, snapshotErr is set if its content is corrupted,
	// else snapshot is.
	snapshot    *decodedSnapshot
	snapshotErr error
}

func decodeRecord(data []byte) record {
	r := record{
		message: new(recordpb.Record),
	}
	if err := proto.Unmarshal(data, r.message); err != nil {
		r.message = nil
		return r
	}
	if s := r.message.GetSnapshot(); s != nil {
		r.snapshot, r.snapshotErr = decodeSnapshotMessage(s)
	}
	return r
}
