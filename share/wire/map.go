// Package wire holds the messages between dandelionstile's processes, generated
// from wire.proto, and converts those that entries and aggregators share to domain types.
package wire

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// EncodeOutcome converts an outcome to its message. Body, the result of an update, is not part
// of the message.
func EncodeOutcome(o query.Outcome) *Outcome {
	message := &Outcome{
		Call: o.Call, Kind: uint32(o.Kind), Reason: string(o.Reason),
		RetryAfterMs: uint32(o.RetryAfter), TookMs: uint32(o.Took), Strikes: uint32(o.Strikes),
	}
	for _, r := range o.Rows {
		message.Rows = append(message.Rows, &Row{Key: r.Key, Score: r.Score, Text: r.Text})
	}
	if o.Feedback != nil {
		message.Feedback = EncodeFeedback(*o.Feedback)
	}
	return message
}

// DecodeOutcome converts a message to an outcome. An unrecognized kind becomes
// query.Unknown, since the request may have run.
func DecodeOutcome(message *Outcome) query.Outcome {
	o := query.Outcome{
		Call: message.GetCall(), Kind: DecodeKind(message.GetKind()), Reason: query.Reason(message.GetReason()),
		RetryAfter: clock.Milli(message.GetRetryAfterMs()), Took: clock.Milli(message.GetTookMs()), Strikes: int(message.GetStrikes()),
	}
	for _, r := range message.GetRows() {
		o.Rows = append(o.Rows, query.Row{Key: r.GetKey(), Score: r.GetScore(), Text: r.GetText()})
	}
	if message.GetFeedback() != nil {
		fb := DecodeFeedback(message.GetFeedback())
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
	message := &Feedback{
		Leaf: fb.Leaf, Busy: uint32(fb.Busy), Limit: uint32(fb.Limit), Queued: uint32(fb.Queued), Closed: fb.Closed, PaceMs: float32(fb.CallTime),
	}
	for _, s := range fb.Holds {
		message.Holds = append(message.Holds, &Snapshot{Layout: s.Layout, Version: s.Version})
	}
	return message
}

// DecodeFeedback converts a message to feedback; a nil message gives the zero value.
func DecodeFeedback(message *Feedback) query.Feedback {
	fb := query.Feedback{
		Leaf: message.GetLeaf(), Busy: int(message.GetBusy()), Limit: int(message.GetLimit()), Queued: int(message.GetQueued()), Closed: message.GetClosed(), CallTime: float64(message.GetPaceMs()),
	}
	for _, s := range message.GetHolds() {
		fb.Holds = append(fb.Holds, topo.SnapshotID{Layout: s.GetLayout(), Version: s.GetVersion()})
	}
	return fb
}
