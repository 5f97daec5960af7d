package syncer

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// HandleStamps records a peer's stamps and pulls newer versions.
func (e *Engine) HandleStamps(now clock.Milli, from string, stamps map[string]Stamp) []Action {
	e.init(now)
	p := e.peer(from)
	var out []Action
	older := false
	names := make([]string, 0, len(stamps))
	for k := range stamps {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		p.stamps[k] = stamps[k]
		v := e.stateOf(k)
		if stamps[k].Less(v.stamp) {
			older = true
		}
		out = append(out, e.pull(now, k, v)...)
	}
	if older {
		out = append(out, SendStamps{Peer: from, Stamps: e.allStamps()})
	}
	return out
}

// pull asks one peer at a time for a newer version of a key. If a peer does not
// answer because it is frozen or has reached maxServes, the next peer is asked.
func (e *Engine) pull(now clock.Milli, key string, v *keyState) []Action {
	if v.pullPeer != "" && now-v.pulledAt < pullTimeout {
		return nil
	}
	best := v.stamp
	if best.Less(v.refused) {
		best = v.refused
	}
	var offers []string
	for name, p := range e.peers {
		s := p.stamps[key]
		switch {
		case best.Less(s):
			best, offers = s, []string{name}
		case s == best && len(offers) > 0:
			offers = append(offers, name)
		}
	}
	if len(offers) == 0 {
		v.pullPeer, v.attempts = "", 0
		return nil
	}
	from := orderForVersion(offers, key, best)[v.attempts%len(offers)]
	v.attempts++
	v.pullPeer, v.pulledAt = from, now
	return []Action{SendPull{Peer: from, Key: key, Have: v.stamp}}
}

// orderForVersion orders peers differently for each version, so that the same
// peer is not always asked first.
func orderForVersion(names []string, key string, s Stamp) []string {
	salt := key + strconv.FormatUint(s.Version, 10)
	sort.Slice(names, func(i, j int) bool {
		a, b := xxhash.Sum64String(names[i]+salt), xxhash.Sum64String(names[j]+salt)
		if a != b {
			return a < b
		}
		return names[i] < names[j]
	})
	return names
}

// HandlePull answers a peer that asks for a version newer than the one it has.
func (e *Engine) HandlePull(now clock.Milli, from, key string, have Stamp) []Action {
	e.init(now)
	v, ok := e.keys[key]
	if !ok || v.current == nil || !have.Less(v.stamp) {
		return nil
	}
	var base *Set
	for _, old := range v.previous {
		if old.Stamp() == have {
			base = old
		}
	}
	if now-v.windowStart >= serveWindow {
		v.served, v.windowStart = 0, now
	}
	if v.served >= maxServes {
		// Other peers have the version by now. Without the limit, a host with many
		// links would send it to all of them.
		return nil
	}
	v.served++
	return []Action{SendDelta{Peer: from, Delta: v.current.diff(key, base)}}
}

// HandleDelta processes a peer's answer to a pull.
func (e *Engine) HandleDelta(now clock.Milli, from string, d Delta) []Action {
	e.init(now)
	v := e.stateOf(d.Key)
	if v.pullPeer == from {
		v.pullPeer = ""
	}
	if !v.stamp.Less(d.To) {
		return nil
	}
	if d.From.Version != 0 && d.From != v.stamp {
		return e.pull(now, d.Key, v)
	}
	s, err := v.current.apply(d)
	if err != nil {
		return []Action{SendPull{Peer: from, Key: d.Key}}
	}
	return e.adoptIfNewer(now, d.Key, s)
}

// adoptIfNewer puts a newer version in force if it is valid, and notifies the peers.
// Versions never go back: an older stamp is ignored, whatever its source.
func (e *Engine) adoptIfNewer(now clock.Milli, key string, s *Set) []Action {
	v := e.stateOf(key)
	stamp := s.Stamp()
	if !v.stamp.Less(stamp) || stamp == v.refused {
		return nil
	}
	if e.Check != nil {
		if err := e.Check(key, s); err != nil {
			v.refused = stamp
			return []Action{Reject{Key: key, Stamp: stamp, Err: err}}
		}
	}
	if v.current != nil {
		v.previous = append(v.previous, v.current)
		if len(v.previous) > maxPrevious {
			v.previous = v.previous[1:]
		}
	}
	v.current, v.stamp, v.attempts = s, stamp, 0
	e.digest = e.computeDigest()
	out := []Action{Adopt{Key: key, Set: s, Stamp: stamp}}
	names := make([]string, 0, len(e.peers))
	for n := range e.peers {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		if e.peers[n].stamps[key].Less(stamp) {
			out = append(out, SendStamps{Peer: n, Stamps: map[string]Stamp{key: stamp}})
		}
	}
	return append(out, e.pull(now, key, v)...)
}

func (e *Engine) computeDigest() uint64 {
	var sum uint64
	for k, v := range e.keys {
		if v.current != nil {
			sum += xxhash.Sum64String(k)*(v.stamp.Version*2+1) ^ v.stamp.Digest
		}
	}
	return sum
}
