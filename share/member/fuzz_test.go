package member

import "testing"

// Packets come from any sender. None may add a host without an address, or an update
// that cannot be encoded.
func FuzzDecode(f *testing.F) {
	body, err := Encode(Packet{Kind: Sync, Sender: Update{Host: Host{GossipAddress: "10.0.0.1:1", ForwardAddress: "10.0.0.1:2", Domain: "d"}}, Digest: make([]uint32, maxBuckets)})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := Decode(body)
		if err != nil {
			return
		}
		l := List{Self: Host{GossipAddress: "10.0.0.9:1"}}
		packets := l.Receive(1000, p)
		for _, h := range l.Alive() {
			if h.GossipAddress == "" {
				t.Fatal("a host without an address")
			}
		}
		for _, p := range append(packets, l.Tick(1000)...) {
			if _, err := Encode(p); err != nil {
				t.Fatal(err)
			}
		}
	})
}
