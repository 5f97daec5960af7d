package deny

// ProvenSet remembers requests that a leaf has completed without crashing. It keeps
// two generations: when the young one is full, the next request makes it the old one, and
// the former old one is removed. So its size is bounded and the requests that were added
// last are kept. The zero value is empty.
type ProvenSet struct {
	young, old map[ProvenKey]struct{}
}

// ProvenKey identifies a request and the snapshot that it ran on. A request that is
// safe on one snapshot may crash a leaf on the next.
type ProvenKey struct {
	Fingerprint uint64
	Layout      uint32
	Version     uint64
}

// maxGeneration is how many keys a generation holds.
const maxGeneration = 32768

// Has reports whether the set contains a request.
func (p *ProvenSet) Has(key ProvenKey) bool {
	if _, ok := p.young[key]; ok {
		return true
	}
	_, ok := p.old[key]
	return ok
}

// Add adds a request. If the young generation is full, it starts a new one.
func (p *ProvenSet) Add(key ProvenKey) {
	if p.young == nil || len(p.young) >= maxGeneration {
		p.old, p.young = p.young, map[ProvenKey]struct{}{}
	}
	p.young[key] = struct{}{}
}

// Remove removes a request for all snapshots, because it has crashed a server.
func (p *ProvenSet) Remove(fingerprint uint64) {
	for _, m := range []map[ProvenKey]struct{}{p.young, p.old} {
		for k := range m {
			if k.Fingerprint == fingerprint {
				delete(m, k)
			}
		}
	}
}
