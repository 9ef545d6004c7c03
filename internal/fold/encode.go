package fold

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// EncodeEdit returns an edit as a record of the log.
func EncodeEdit(e table.Edit) ([]byte, error) {
	p := changeToProto(e)
	if p.GetTable() == recordpb.Table_TABLE_UNSPECIFIED {
		return nil, fmt.Errorf("encode edit %q: it has no change", e.ID)
	}
	p.EditId = e.ID
	p.Author = e.Author
	p.BaseRevision = e.BaseRevision
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Edit{
			Edit: p,
		},
	})
}

// EncodeClaims returns claims as one record of the log. Offset and TimeMs are left out:
// they are those of the record, which the log assigns.
func EncodeClaims(claims []Claim) ([]byte, error) {
	batch := &recordpb.ClaimBatch{
		Claims: make([]*recordpb.Claim, 0, len(claims)),
	}
	for i := range claims {
		batch.Claims = append(batch.Claims, &recordpb.Claim{
			Key:   claims[i].KeyHash[:],
			Body:  claims[i].RequestHash[:],
			Owner: claims[i].Owner,
		})
	}
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Claims{
			Claims: batch,
		},
	})
}

// EncodeLease returns a request for a lease as a record of the log.
func EncodeLease(r LeaseRequest) ([]byte, error) {
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Lease{
			Lease: &recordpb.LeaseGrant{
				Name:    r.Name,
				Holder:  r.Holder,
				TtlMs:   r.TTL.Milliseconds(),
				Fencing: r.FencingToken,
				Release: r.Release,
			},
		},
	})
}

func encode(r *recordpb.Record) ([]byte, error) {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}
