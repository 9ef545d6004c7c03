package fold

import (
	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/wire/recordpb"
)

// record is a decoded record. Decoding needs no lock, and takes long for a large
// snapshot.
type record struct {
	// message has no kind if the record can't be decoded.
	message *recordpb.Record
	// image and damage are set for a snapshot.
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
