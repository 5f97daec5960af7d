package node

import (
	"sort"
	"strconv"

	"dandelionstile/share/clock"
	"dandelionstile/share/poison"
	"dandelionstile/share/spread"
	"dandelionstile/share/wire"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func stampTo(key string, s spread.Stamp) *wire.Stamp {
	return &wire.Stamp{Key: key, Version: s.Version, Digest: s.Digest}
}

func stampFrom(w *wire.Stamp) spread.Stamp {
	return spread.Stamp{Version: w.GetVersion(), Digest: w.GetDigest()}
}

func stampsTo(stamps map[string]spread.Stamp) *wire.Envelope {
	w := &wire.Stamps{}
	for key, s := range stamps {
		w.Stamps = append(w.Stamps, stampTo(key, s))
	}
	sort.Slice(w.Stamps, func(i, j int) bool { return w.Stamps[i].Key < w.Stamps[j].Key })
	return &wire.Envelope{Body: &wire.Envelope_Stamps{Stamps: w}}
}

func stampsFrom(w *wire.Stamps) map[string]spread.Stamp {
	stamps := make(map[string]spread.Stamp, len(w.GetStamps()))
	for _, s := range w.GetStamps() {
		stamps[s.GetKey()] = stampFrom(s)
	}
	return stamps
}

func pullTo(a spread.SendPull) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Pull{Pull: &wire.Pull{Have: stampTo(a.Key, a.Have)}}}
}

func deltaTo(d spread.Delta) *wire.Envelope {
	w := &wire.Delta{Key: d.Key, From: stampTo("", d.From), To: stampTo("", d.To), Removed: d.Removed}
	for _, it := range d.Changed {
		w.Changed = append(w.Changed, &wire.Item{Name: it.Name, Body: it.Body})
	}
	return &wire.Envelope{Body: &wire.Envelope_Delta{Delta: w}}
}

func deltaFrom(w *wire.Delta) spread.Delta {
	d := spread.Delta{
		Key: w.GetKey(), From: stampFrom(w.GetFrom()), To: stampFrom(w.GetTo()), Removed: w.GetRemoved(),
	}
	for _, it := range w.GetChanged() {
		d.Changed = append(d.Changed, spread.Item{Name: it.GetName(), Body: it.GetBody()})
	}
	return d
}

func strikeTo(id uint64, s poison.Strike) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Strike{Strike: &wire.Strike{
		Id: id, Fingerprint: s.Fingerprint, Count: uint32(s.Count), LeftMs: uint32(s.Left),
	}}}
}

func strikeFrom(w *wire.Strike) poison.Strike {
	return poison.Strike{
		Fingerprint: w.GetFingerprint(), Count: int(w.GetCount()), Left: clock.Milli(w.GetLeftMs()),
	}
}
