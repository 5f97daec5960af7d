package core

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/sched"
	"dandelionstile/share/wire"
)

func encodeUpdateReply(id uint64, o query.Outcome) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_UpdateReply{UpdateReply: &wire.UpdateReply{
		Id: id, Kind: uint32(o.Kind), Reason: string(o.Reason), RetryAfterMs: uint32(o.RetryAfter),
		Body: o.Body, Strikes: uint32(o.Strikes),
	}}}
}

// encodeAges encodes the ages of leaves for a claim, grant or release.
func encodeAges(list []sched.ServerAges) []*wire.ServerAges {
	out := make([]*wire.ServerAges, len(list))
	for i, s := range list {
		out[i] = &wire.ServerAges{Server: s.Server, Granted: s.Granted}
		for _, l := range s.Leaves {
			out[i].Leafs = append(out[i].Leafs, &wire.LeafAge{Leaf: l.Leaf, AgeMs: uint32(l.Age), Known: l.Known})
		}
	}
	return out
}

func decodeAges(list []*wire.ServerAges) []sched.ServerAges {
	out := make([]sched.ServerAges, len(list))
	for i, s := range list {
		out[i] = sched.ServerAges{Server: s.GetServer(), Granted: s.GetGranted()}
		for _, l := range s.GetLeafs() {
			out[i].Leaves = append(out[i].Leaves, sched.LeafAge{
				Leaf: l.GetLeaf(), Age: clock.Milli(l.GetAgeMs()), Known: l.GetKnown(),
			})
		}
	}
	return out
}

func encodeClaim(a sched.Claim) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: &wire.Claim{Id: a.ID, Servers: encodeAges(a.Servers)}}}
}

// encodeRelease encodes a release as a claim message with the release flag set.
func encodeRelease(a sched.Release) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Claim{Claim: &wire.Claim{Servers: encodeAges(a.Servers), Release: true}}}
}

func decodeClaim(w *wire.Claim) (uint64, []sched.ServerAges) {
	return w.GetId(), decodeAges(w.GetServers())
}

func encodeGrant(a sched.Grant) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Grant{Grant: &wire.Grant{
		Claim: a.ID, Servers: encodeAges(a.Servers), SpanMs: uint32(a.Duration),
	}}}
}

func decodeGrant(w *wire.Grant) (uint64, []sched.ServerAges, clock.Milli) {
	return w.GetClaim(), decodeAges(w.GetServers()), clock.Milli(w.GetSpanMs())
}
