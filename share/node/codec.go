package node

import (
	"bytes"
	"compress/flate"
	"io"
	"sort"
	"strconv"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/syncer"
	"dandelionstile/share/wire"
)

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }

func stampTo(key string, s syncer.Stamp) *wire.Stamp {
	return &wire.Stamp{Key: key, Version: s.Version, Digest: s.Digest}
}

func stampFrom(w *wire.Stamp) syncer.Stamp {
	return syncer.Stamp{Version: w.GetVersion(), Digest: w.GetDigest()}
}

func stampsTo(stamps map[string]syncer.Stamp) *wire.Envelope {
	w := &wire.Stamps{}
	for key, s := range stamps {
		w.Stamps = append(w.Stamps, stampTo(key, s))
	}
	sort.Slice(w.Stamps, func(i, j int) bool { return w.Stamps[i].Key < w.Stamps[j].Key })
	return &wire.Envelope{Body: &wire.Envelope_Stamps{Stamps: w}}
}

func stampsFrom(w *wire.Stamps) map[string]syncer.Stamp {
	stamps := make(map[string]syncer.Stamp, len(w.GetStamps()))
	for _, s := range w.GetStamps() {
		stamps[s.GetKey()] = stampFrom(s)
	}
	return stamps
}

func pullTo(a syncer.SendPull) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Pull{Pull: &wire.Pull{Have: stampTo(a.Key, a.Have)}}}
}

// deltaTo maps a delta. Its items are compressed: the operators' files are text
// that repeats itself, and each change goes to every host.
func deltaTo(d syncer.Delta) *wire.Envelope {
	w := &wire.Delta{Key: d.Key, From: stampTo("", d.From), To: stampTo("", d.To), Removed: d.Removed}
	items := &wire.Items{}
	for _, it := range d.Changed {
		items.Items = append(items.Items, &wire.Item{Name: it.Name, Body: it.Body})
	}
	w.Packed = CompressItems(items)
	return &wire.Envelope{Body: &wire.Envelope_Delta{Delta: w}}
}

// CompressItems marshals and compresses items.
func CompressItems(items *wire.Items) []byte {
	plain, err := proto.Marshal(items)
	if err != nil {
		return nil // items of bytes and names always marshal
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil // the level is a valid one
	}
	_, _ = z.Write(plain) // writing to memory does not fail
	_ = z.Close()
	return b.Bytes()
}

// maxUnpacked bounds what a peer's delta may expand to, in bytes.
const maxUnpacked = 64 << 20

func unpack(packed []byte) (*wire.Items, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpacked))
	if err != nil {
		return nil, errors.Wrap(err, "expand delta")
	}
	items := &wire.Items{}
	return items, errors.Wrap(proto.Unmarshal(plain, items), "read delta")
}

func deltaFrom(w *wire.Delta) (syncer.Delta, error) {
	d := syncer.Delta{
		Key: w.GetKey(), From: stampFrom(w.GetFrom()), To: stampFrom(w.GetTo()), Removed: w.GetRemoved(),
	}
	items, err := unpack(w.GetPacked())
	if err != nil {
		return d, err
	}
	for _, it := range items.GetItems() {
		d.Changed = append(d.Changed, syncer.Item{Name: it.GetName(), Body: it.GetBody()})
	}
	return d, nil
}

func strikeTo(id uint64, s deny.Strike) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Strike{Strike: &wire.Strike{
		Id: id, Fingerprint: s.Fingerprint, Count: uint32(s.Count), LeftMs: uint32(s.TimeLeft),
	}}}
}

func strikeFrom(w *wire.Strike) deny.Strike {
	return deny.Strike{
		Fingerprint: w.GetFingerprint(), Count: int(w.GetCount()), TimeLeft: clock.Milli(w.GetLeftMs()),
	}
}
