package core

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/fanout"
	"dandelionstile/share/query"
	"dandelionstile/share/wire"
)

func encodeBatch(a fanout.SendBatch, budget clock.Milli, trace string) *wire.Envelope {
	b := &wire.Batch{
		Service: a.Service, Layout: a.Pin.Layout, Snapshot: a.Pin.Version, Text: a.Text, Limit: uint32(a.Limit),
		BudgetMs: uint32(budget), Fingerprint: a.Fingerprint, Trace: trace, Caller: a.Caller,
	}
	for _, c := range a.Calls {
		b.Calls = append(b.Calls, &wire.Call{Id: c.ID, Leaf: c.Leaf, Shard: uint32(c.Shard), Canary: c.Canary, Again: c.SecondCanary})
	}
	return &wire.Envelope{Body: &wire.Envelope_Batch{Batch: b}}
}

func encodeUpdate(a fanout.SendUpdate, budget clock.Milli, trace string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Update{Update: &wire.Update{
		Id: a.Call, Ticket: a.Update.ID.String(), Service: a.Update.Service, Operation: a.Update.Operation,
		Key: a.Update.Key, Body: a.Update.Body, BudgetMs: uint32(budget), Leaf: a.Leaf,
		Fingerprint: a.Fingerprint, Trace: trace,
	}}}
}

// encodeForward encodes an update for the entry that minted its ID, which then selects the
// leaf.
func encodeForward(u fanout.Update, budget clock.Milli) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Update{Update: &wire.Update{
		Id: u.RequestID, Ticket: u.ID.String(), Service: u.Service, Operation: u.Operation,
		Key: u.Key, Body: u.Body, BudgetMs: uint32(budget),
	}}}
}

func encodeUpdateReply(id uint64, r fanout.UpdateResult) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_UpdateReply{UpdateReply: &wire.UpdateReply{
		Id: id, Kind: uint32(r.Kind), Reason: string(r.Reason), RetryAfterMs: uint32(r.RetryAfter), Body: r.Body,
	}}}
}

func decodeUpdateReply(w *wire.UpdateReply) fanout.UpdateResult {
	return fanout.UpdateResult{
		Kind: wire.DecodeKind(w.GetKind()), Reason: query.Reason(w.GetReason()),
		RetryAfter: clock.Milli(w.GetRetryAfterMs()), Body: w.GetBody(), Strikes: int(w.GetStrikes()),
	}
}
