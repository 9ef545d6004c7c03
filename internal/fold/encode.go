package fold

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// EncodeEdit returns an edit as a record of the log.
func EncodeEdit(e table.Edit) ([]byte, error) {
	name, pool := e.Target()
	p := &recordpb.Edit{
		EditId:       e.ID,
		Author:       e.Author,
		BaseRevision: e.BaseRevision,
		Table:        tableOf(pool),
		Name:         name,
	}
	switch c := e.Change.(type) {
	case table.SetRoute:
		p.Route = routeToProto(c.Route)
	case table.SetPool:
		p.Pool = poolToProto(c.Pool)
	case table.DeleteRoute, table.DeletePool:
		p.Delete = true
	default:
		return nil, fmt.Errorf("encode edit %q: it has no change", e.ID)
	}
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Edit{
			Edit: p,
		},
	})
}

// EncodeClaims returns claims as one record of the log. Offset and TimeMs are left
// out, as the log gives them.
func EncodeClaims(claims []Claim) ([]byte, error) {
	batch := &recordpb.ClaimBatch{
		Claims: make([]*recordpb.Claim, 0, len(claims)),
	}
	for i := range claims {
		batch.Claims = append(batch.Claims, &recordpb.Claim{
			Key:   claims[i].Key[:],
			Body:  claims[i].Body[:],
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
				Fencing: r.Fencing,
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
