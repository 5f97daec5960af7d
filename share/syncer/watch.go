package syncer

import (
	"slices"

	"dandelionstile/share/clock"
)

type reader struct {
	inFlight bool
	next     clock.Milli
	delay    clock.Milli
}

// HandleRead processes the result of a read of the platform.
func (e *Engine) HandleRead(now clock.Milli, r ReadResult) []Action {
	e.init(now)
	rd := e.reader(r.Key)
	rd.inFlight = false
	if r.Err != nil {
		rd.delay = min(max(2*rd.delay, retryBase), retryMax)
		rd.next = now + rd.delay
		return nil
	}
	rd.delay = 0
	rd.next = now + minReadInterval
	e.platformHeard = now
	if r.Set == nil {
		return nil
	}
	if r.Set.Stamp().Less(e.stateOf(r.Key).stamp) {
		// A stale platform answers a watch immediately; without this delay the watcher
		// would read in a loop and use up the whole read budget.
		rd.next = now + retryBase
	}
	return e.adoptIfNewer(now, r.Key, r.Set)
}

func (e *Engine) reader(key string) *reader {
	r, ok := e.readers[key]
	if !ok {
		r = &reader{}
		e.readers[key] = r
	}
	return r
}

// Tick runs periodic work. Call it a few times a second.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init(now)
	var out []Action
	for _, v := range e.sortedKeys() {
		out = append(out, e.pull(now, v.name, v.keyState)...)
	}
	for _, k := range e.WatchKeys {
		out = append(out, e.read(now, k, e.Watching(now))...)
	}
	for _, k := range e.requiredKeys {
		out = append(out, e.read(now, k, false)...)
	}
	return out
}

// SetRequiredKeys sets the keys that this host needs beyond WatchKeys. A key that no
// peer offers is read once from the platform; newer versions then come from peers.
func (e *Engine) SetRequiredKeys(keys []string) {
	e.requiredKeys = e.requiredKeys[:0]
	for _, k := range keys {
		if !slices.Contains(e.WatchKeys, k) {
			e.requiredKeys = append(e.requiredKeys, k)
		}
	}
}

func (e *Engine) read(now clock.Milli, key string, watch bool) []Action {
	rd := e.reader(key)
	if rd.inFlight || now < rd.next {
		return nil
	}
	missing := e.stateOf(key).current == nil && now-e.started >= startupPeerWait
	if !watch && !missing {
		return nil
	}
	rd.inFlight = true
	after := e.stateOf(key).stamp.Version
	return []Action{ReadPlatform{Key: key, After: after, Watch: watch && after > 0}}
}

// Watching reports whether this host watches the platform now. The first hosts of a
// failure domain by rank do. If there was no contact to the platform for long, the
// hosts next in rank join, so that watchers that are partitioned, frozen or down are
// replaced without a vote. At most maxExtraWatchers join.
func (e *Engine) Watching(now clock.Milli) bool {
	if e.Rank < 0 {
		return false
	}
	watchers := e.Watchers
	if watchers == 0 {
		watchers = DefaultWatchers
	}
	if e.Rank < watchers {
		return true
	}
	if e.Rank >= watchers+maxExtraWatchers {
		return false
	}
	silence := now - max(e.platformHeard, e.started)
	return silence > promoteAfter*clock.Milli(e.Rank-watchers+1)
}
