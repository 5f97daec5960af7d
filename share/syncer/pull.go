package syncer

import (
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// HandleStamps takes what a peer says it has in force, and pulls what is newer.
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
		v := e.key(k)
		if stamps[k].Less(v.stamp) {
			older = true
		}
		out = append(out, e.pull(now, k, v)...)
	}
	if older {
		out = append(out, SendStamps{Peer: from, Stamps: e.all()})
	}
	return out
}

// pull asks one peer at a time for a newer version of a key. A peer that does
// not answer, because it is frozen or has served enough others, is followed by
// the next.
func (e *Engine) pull(now clock.Milli, key string, v *versions) []Action {
	if v.asked != "" && now-v.askedAt < pullTimeout {
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
		v.asked, v.tries = "", 0
		return nil
	}
	from := inTurn(offers, key, best)[v.tries%len(offers)]
	v.tries++
	v.asked, v.askedAt = from, now
	return []Action{SendPull{Peer: from, Key: key, Have: v.stamp}}
}

// inTurn orders peers differently for each version, so that no peer has to
// serve all others all the time.
func inTurn(names []string, key string, s Stamp) []string {
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

// HandlePull answers a peer that asks for what is newer than a version it has.
func (e *Engine) HandlePull(now clock.Milli, from, key string, have Stamp) []Action {
	e.init(now)
	v, ok := e.keys[key]
	if !ok || v.now == nil || !have.Less(v.stamp) {
		return nil
	}
	var base *Set
	for _, old := range v.past {
		if old.Stamp() == have {
			base = old
		}
	}
	if now-v.servedAt >= serveSpan {
		v.served, v.servedAt = 0, now
	}
	if v.served >= serveMost {
		// Others have it by now, too. A host with many links would otherwise
		// send the version to all of them.
		return nil
	}
	v.served++
	return []Action{SendDelta{Peer: from, Delta: v.now.diff(key, base)}}
}

// HandleDelta takes a peer's answer to a pull.
func (e *Engine) HandleDelta(now clock.Milli, from string, d Delta) []Action {
	e.init(now)
	v := e.key(d.Key)
	if v.asked == from {
		v.asked = ""
	}
	if !v.stamp.Less(d.To) {
		return nil
	}
	if d.From.Version != 0 && d.From != v.stamp {
		return e.pull(now, d.Key, v)
	}
	s, err := v.now.apply(d)
	if err != nil {
		return []Action{SendPull{Peer: from, Key: d.Key}}
	}
	return e.offer(now, d.Key, s)
}

// offer puts a later version in force if it is valid, and tells the peers. A
// version never goes back: only a later stamp is ever taken, from whomever.
func (e *Engine) offer(now clock.Milli, key string, s *Set) []Action {
	v := e.key(key)
	stamp := s.Stamp()
	if !v.stamp.Less(stamp) || stamp == v.refused {
		return nil
	}
	if e.Check != nil {
		if err := e.Check(key, s); err != nil {
			v.refused = stamp
			return []Action{Refuse{Key: key, Stamp: stamp, Err: err}}
		}
	}
	if v.now != nil {
		v.past = append(v.past, v.now)
		if len(v.past) > history {
			v.past = v.past[1:]
		}
	}
	v.now, v.stamp, v.tries = s, stamp, 0
	e.digest = e.sum()
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

func (e *Engine) sum() uint64 {
	var sum uint64
	for k, v := range e.keys {
		if v.now != nil {
			sum += xxhash.Sum64String(k)*(v.stamp.Version*2+1) ^ v.stamp.Digest
		}
	}
	return sum
}
