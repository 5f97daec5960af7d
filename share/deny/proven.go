package deny

// ProvenSet remembers requests that a leaf survived, in two generations, so that
// the memory is bounded and the recent ones stay. The zero value is empty.
type ProvenSet struct {
	young, old map[ProvenKey]struct{}
}

// ProvenKey names a request together with the snapshot that it ran on: what one
// snapshot survived, the next one may not.
type ProvenKey struct {
	Fingerprint uint64
	Layout      uint32
	Version     uint64
}

// provenMax is how many proofs a generation holds.
const provenMax = 32768

// Has tells whether a request is remembered.
func (p *ProvenSet) Has(k ProvenKey) bool {
	if _, ok := p.young[k]; ok {
		return true
	}
	_, ok := p.old[k]
	return ok
}

// Add remembers a request.
func (p *ProvenSet) Add(k ProvenKey) {
	if p.young == nil || len(p.young) >= provenMax {
		p.old, p.young = p.young, map[ProvenKey]struct{}{}
	}
	p.young[k] = struct{}{}
}

// Drop forgets a request on all snapshots: it has brought down a server.
func (p *ProvenSet) Drop(fingerprint uint64) {
	for _, m := range []map[ProvenKey]struct{}{p.young, p.old} {
		for k := range m {
			if k.Fingerprint == fingerprint {
				delete(m, k)
			}
		}
	}
}
