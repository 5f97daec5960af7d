package syncer

import (
	"slices"

	"dandelionstile/share/clock"
)

// reader schedules the reads of one key from the platform.
type reader struct {
	inFlight   bool
	nextRead   clock.Milli // when the next read is allowed
	retryDelay clock.Milli // of the last retry; 0 after a successful read
}

// HandleRead processes the result of a read of the platform: it adopts a newer version
// and sets the earliest time of the next read, with exponential backoff after errors. A
// read without an error counts as contact to the platform.
func (e *Engine) HandleRead(now clock.Milli, r ReadResult) []Action {
	e.init(now)
	rd := e.readerOf(r.Key)
	rd.inFlight = false
	if r.Err != nil {
		rd.retryDelay = min(max(2*rd.retryDelay, retryBase), retryMax)
		rd.nextRead = now + rd.retryDelay
		return nil
	}
	rd.retryDelay = 0
	rd.nextRead = now + minReadInterval
	e.platformContactAt = now
	if r.Set == nil {
		return nil
	}
	if r.Set.Stamp().Less(e.stateOf(r.Key).stamp) {
		// A stale platform answers a watch immediately; without this delay the watcher
		// would read in a loop and use up the whole read budget.
		rd.nextRead = now + retryBase
	}
	return e.adoptIfNewer(now, r.Key, r.Set)
}

// readerOf returns the reader of a key, and adds one if there is none.
func (e *Engine) readerOf(key string) *reader {
	r, ok := e.readers[key]
	if !ok {
		r = &reader{}
		e.readers[key] = r
	}
	return r
}

// Tick runs periodic work: pulls that timed out, and reads of the platform that are due.
// Call it a few times a second.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init(now)
	var out []Action
	for _, v := range e.sortedKeys() {
		out = append(out, e.pull(now, v.name, v.keyState)...)
	}
	for _, k := range e.WatchKeys {
		out = append(out, e.readIfDue(now, k, e.Watching(now))...)
	}
	for _, k := range e.requiredKeys {
		out = append(out, e.readIfDue(now, k, false /* watch */)...)
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

// readIfDue reads a key from the platform if this host watches it, or if it has no version
// startupPeerWait after the start. It does nothing while a read is in flight or delayed.
func (e *Engine) readIfDue(now clock.Milli, key string, watch bool) []Action {
	rd := e.readerOf(key)
	if rd.inFlight || now < rd.nextRead {
		return nil
	}
	missing := e.stateOf(key).current == nil && now-e.started >= startupPeerWait
	if !watch && !missing {
		return nil
	}
	rd.inFlight = true
	after := e.stateOf(key).stamp.Version
	// Without a version in force, the current one is needed at once.
	return []Action{ReadPlatform{Key: key, After: after, Watch: watch && after > 0}}
}

// Watching reports whether this host watches the platform now. The first hosts of a
// failure domain by rank do. If there was no contact to the platform for long, the
// hosts next in rank join, so that watchers that are partitioned, paused or down are
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
	sinceContact := now - max(e.platformContactAt, e.started)
	return sinceContact > promoteAfter*clock.Milli(e.Rank-watchers+1)
}
