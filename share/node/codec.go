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

// encodeStamp encodes the stamp of a version of a key; the key is empty where the
// message names it elsewhere.
func encodeStamp(key string, s syncer.Stamp) *wire.Stamp {
	return &wire.Stamp{Key: key, Version: s.Version, Digest: s.Digest}
}

func decodeStamp(w *wire.Stamp) syncer.Stamp {
	return syncer.Stamp{Version: w.GetVersion(), Digest: w.GetDigest()}
}

// encodeStamps encodes stamps by key, in the order of the keys.
func encodeStamps(stamps map[string]syncer.Stamp) *wire.Envelope {
	w := &wire.Stamps{}
	for key, s := range stamps {
		w.Stamps = append(w.Stamps, encodeStamp(key, s))
	}
	sort.Slice(w.Stamps, func(i, j int) bool { return w.Stamps[i].Key < w.Stamps[j].Key })
	return &wire.Envelope{Body: &wire.Envelope_Stamps{Stamps: w}}
}

func decodeStamps(w *wire.Stamps) map[string]syncer.Stamp {
	stamps := make(map[string]syncer.Stamp, len(w.GetStamps()))
	for _, s := range w.GetStamps() {
		stamps[s.GetKey()] = decodeStamp(s)
	}
	return stamps
}

func encodePull(a syncer.SendPull) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Pull{Pull: &wire.Pull{Have: encodeStamp(a.Key, a.Have)}}}
}

// encodeDelta encodes a delta. Its items are compressed because configuration
// files are repetitive text and each change is sent to every host.
func encodeDelta(d syncer.Delta) *wire.Envelope {
	w := &wire.Delta{Key: d.Key, From: encodeStamp("", d.From), To: encodeStamp("", d.To), Removed: d.Removed}
	items := &wire.Items{}
	for _, it := range d.Changed {
		items.Items = append(items.Items, &wire.Item{Name: it.Name, Body: it.Body})
	}
	w.Packed = CompressItems(items)
	return &wire.Envelope{Body: &wire.Envelope_Delta{Delta: w}}
}

// CompressItems marshals and compresses items. expandItems is its inverse.
func CompressItems(items *wire.Items) []byte {
	plain, err := proto.Marshal(items)
	if err != nil {
		return nil // items of names and bytes always marshal
	}
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.DefaultCompression)
	if err != nil {
		return nil // DefaultCompression is a valid level
	}
	_, _ = z.Write(plain) // writing to a bytes.Buffer does not fail
	_ = z.Close()
	return b.Bytes()
}

// maxExpandedBytes bounds the memory that a peer's delta takes once expanded. A
// larger delta is cut off there and then fails to unmarshal or to apply.
const maxExpandedBytes = 64 << 20

// expandItems decompresses and unmarshals the items of a delta.
func expandItems(packed []byte) (*wire.Items, error) {
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxExpandedBytes))
	if err != nil {
		return nil, errors.Wrap(err, "decompress delta")
	}
	items := &wire.Items{}
	return items, errors.Wrap(proto.Unmarshal(plain, items), "unmarshal delta")
}

func decodeDelta(w *wire.Delta) (syncer.Delta, error) {
	d := syncer.Delta{
		Key: w.GetKey(), From: decodeStamp(w.GetFrom()), To: decodeStamp(w.GetTo()), Removed: w.GetRemoved(),
	}
	items, err := expandItems(w.GetPacked())
	if err != nil {
		return d, err
	}
	for _, it := range items.GetItems() {
		d.Changed = append(d.Changed, syncer.Item{Name: it.GetName(), Body: it.GetBody()})
	}
	return d, nil
}

// encodeStrike encodes a strike. The peer acknowledges it if the ID is not 0.
func encodeStrike(id uint64, s deny.Strike) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Strike{Strike: &wire.Strike{
		Id: id, Fingerprint: s.Fingerprint, Count: uint32(s.Count), LeftMs: uint32(s.TimeLeft),
	}}}
}

func decodeStrike(w *wire.Strike) deny.Strike {
	return deny.Strike{
		Fingerprint: w.GetFingerprint(), Count: int(w.GetCount()), TimeLeft: clock.Milli(w.GetLeftMs()),
	}
}
