// Package wire holds the messages between dandelionstile's processes, generated
// from wire.proto, and converts those that both programs use to domain types.
package wire

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// EncodeOutcome converts an outcome to its message. Body, the result of an update, is not part
// of the message.
func EncodeOutcome(o query.Outcome) *Outcome {
	w := &Outcome{
		Call: o.Call, Kind: uint32(o.Kind), Reason: string(o.Reason),
		RetryAfterMs: uint32(o.RetryAfter), TookMs: uint32(o.Took), Strikes: uint32(o.Strikes),
	}
	for _, r := range o.Rows {
		w.Rows = append(w.Rows, &Row{Key: r.Key, Score: r.Score, Text: r.Text})
	}
	if o.Feedback != nil {
		w.Feedback = EncodeFeedback(*o.Feedback)
	}
	return w
}

// DecodeOutcome converts a message to an outcome. An unrecognized kind becomes
// query.Unknown, which guarantees the least.
func DecodeOutcome(w *Outcome) query.Outcome {
	o := query.Outcome{
		Call: w.GetCall(), Kind: DecodeKind(w.GetKind()), Reason: query.Reason(w.GetReason()),
		RetryAfter: clock.Milli(w.GetRetryAfterMs()), Took: clock.Milli(w.GetTookMs()), Strikes: int(w.GetStrikes()),
	}
	for _, r := range w.GetRows() {
		o.Rows = append(o.Rows, query.Row{Key: r.GetKey(), Score: r.GetScore(), Text: r.GetText()})
	}
	if w.GetFeedback() != nil {
		fb := DecodeFeedback(w.GetFeedback())
		o.Feedback = &fb
	}
	return o
}

// DecodeKind converts a number to a kind. It returns query.Unknown for a number that is no
// kind.
func DecodeKind(n uint32) query.Kind {
	if n < uint32(query.OK) || n > uint32(query.Died) {
		return query.Unknown
	}
	return query.Kind(n)
}

// EncodeFeedback converts feedback to its message.
func EncodeFeedback(fb query.Feedback) *Feedback {
	w := &Feedback{
		Leaf: fb.Leaf, Busy: uint32(fb.Busy), Limit: uint32(fb.Limit), Queued: uint32(fb.Queued), Closed: fb.Closed, PaceMs: float32(fb.CallTime),
	}
	for _, s := range fb.Holds {
		w.Holds = append(w.Holds, &Snapshot{Layout: s.Layout, Version: s.Version})
	}
	return w
}

// DecodeFeedback converts a message to feedback; a nil message gives the zero value.
func DecodeFeedback(w *Feedback) query.Feedback {
	fb := query.Feedback{
		Leaf: w.GetLeaf(), Busy: int(w.GetBusy()), Limit: int(w.GetLimit()), Queued: int(w.GetQueued()), Closed: w.GetClosed(), CallTime: float64(w.GetPaceMs()),
	}
	for _, s := range w.GetHolds() {
		fb.Holds = append(fb.Holds, topo.SnapshotID{Layout: s.GetLayout(), Version: s.GetVersion()})
	}
	return fb
}
