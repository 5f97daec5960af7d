package syncer

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// HandleStamps records a peer's stamps and pulls newer versions, also of keys that are
// unknown here. If one of the stamps is older than the version here, it sends the peer the
// stamps of all versions in force.
func (e *Engine) HandleStamps(now clock.Milli, from string, stamps map[string]Stamp) []Action {
	e.init(now)
	p := e.peerOf(from)
	var out []Action
	peerHasOlder := false
	names := make([]string, 0, len(stamps))
	for k := range stamps {
		names = append(names, k)
	}
	sort.Strings(names)
	for _, k := range names {
		p.stamps[k] = stamps[k]
		state := e.stateOf(k)
		if stamps[k].Less(state.stamp) {
			peerHasOlder = true
		}
		out = append(out, e.pull(now, k, state)...)
	}
	if peerHasOlder {
		out = append(out, SendStamps{Peer: from, Stamps: e.allStamps()})
	}
	return out
}

// pull asks a peer for the newest version of a key, if it is newer than the one in force
// and than the last one that was rejected.
// It asks one peer at a time and does nothing while a pull is in flight. A peer that does
// not answer within pullTimeout, because it is paused or has reached maxServes, is
// followed by the next one.
func (e *Engine) pull(now clock.Milli, key string, state *keyState) []Action {
	if state.pullPeer != "" && now-state.pulledAt < pullTimeout {
		return nil
	}
	newest := state.stamp // until a peer has a newer one; then the stamp of the candidates
	if newest.Less(state.rejected) {
		newest = state.rejected
	}
	var candidates []string
	for name, p := range e.peers {
		s := p.stamps[key]
		switch {
		case newest.Less(s):
			newest, candidates = s, []string{name}
		case s == newest && len(candidates) > 0:
			candidates = append(candidates, name)
		}
	}
	if len(candidates) == 0 {
		state.pullPeer, state.attempts = "", 0
		return nil
	}
	from := orderForVersion(candidates, key, newest)[state.attempts%len(candidates)]
	state.attempts++
	state.pullPeer, state.pulledAt = from, now
	return []Action{SendPull{Peer: from, Key: key, Have: state.stamp}}
}

// orderForVersion sorts peers by a hash of their names and a version, so that the same
// peer is not asked first for every version.
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

// HandlePull answers a peer that asks for a version newer than the one it has. The delta
// starts at the peer's version if that is kept here, or else contains all items. There is
// no answer if this host has nothing newer or has reached maxServes.
func (e *Engine) HandlePull(now clock.Milli, from, key string, have Stamp) []Action {
	e.init(now)
	state, ok := e.keys[key]
	if !ok || state.current == nil || !have.Less(state.stamp) {
		return nil
	}
	var base *Set
	for _, old := range state.previous {
		if old.Stamp() == have {
			base = old
		}
	}
	if now-state.windowStart >= serveWindow {
		state.served, state.windowStart = 0, now
	}
	if state.served >= maxServes {
		// Other peers have the version by now. Without the limit, a host with many
		// links would send it to all of them.
		return nil
	}
	state.served++
	return []Action{SendDelta{Peer: from, Delta: state.current.diff(key, base)}}
}

// HandleDelta processes a peer's answer to a pull. A version that is not newer is ignored.
// So is a delta that starts at another version than the one in force, but its key is pulled
// again; if a delta does not produce the version that it names, the peer is asked for all
// items.
func (e *Engine) HandleDelta(now clock.Milli, from string, d Delta) []Action {
	e.init(now)
	state := e.stateOf(d.Key)
	if state.pullPeer == from {
		state.pullPeer = ""
	}
	if !state.stamp.Less(d.To) {
		return nil
	}
	if d.From.Version != 0 && d.From != state.stamp {
		return e.pull(now, d.Key, state)
	}
	s, err := state.current.apply(d)
	if err != nil {
		return []Action{SendPull{Peer: from, Key: d.Key}} // an empty Have asks for all items
	}
	return e.adoptIfNewer(now, d.Key, s)
}

// adoptIfNewer puts a newer version in force if it is valid, and sends its stamp to the
// peers that have an older one. For an invalid version, which is recorded, it returns Reject.
// Versions never go back: an older stamp is ignored, whatever its source, and so is the
// version that was rejected last.
func (e *Engine) adoptIfNewer(now clock.Milli, key string, s *Set) []Action {
	state := e.stateOf(key)
	stamp := s.Stamp()
	if !state.stamp.Less(stamp) || stamp == state.rejected {
		return nil
	}
	if e.Check != nil {
		if err := e.Check(key, s); err != nil {
			state.rejected = stamp
			return []Action{Reject{Key: key, Stamp: stamp, Err: err}}
		}
	}
	if state.current != nil {
		state.previous = append(state.previous, state.current)
		if len(state.previous) > maxPrevious {
			state.previous = state.previous[1:]
		}
	}
	state.current, state.stamp, state.attempts = s, stamp, 0
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
	return append(out, e.pull(now, key, state)...)
}

// computeDigest returns a sum over the keys and stamps of all versions in force, which
// does not depend on the order of the keys.
func (e *Engine) computeDigest() uint64 {
	var sum uint64
	for k, v := range e.keys {
		if v.current != nil {
			// The factor is odd, so that it loses no bit of the key's hash.
			sum += xxhash.Sum64String(k)*(v.stamp.Version*2+1) ^ v.stamp.Digest
		}
	}
	return sum
}
