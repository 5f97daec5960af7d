package syncer

import (
	"slices"

	"dandelionstile/share/clock"
)

type reader struct {
	busy  bool
	next  clock.Milli
	pause clock.Milli
}

// HandleRead takes the platform's answer to a read.
func (e *Engine) HandleRead(now clock.Milli, r ReadResult) []Action {
	e.init(now)
	rd := e.reader(r.Key)
	rd.busy = false
	if r.Err != nil {
		rd.pause = min(max(2*rd.pause, retryBase), retryMax)
		rd.next = now + rd.pause
		return nil
	}
	rd.pause = 0
	rd.next = now + watchPause
	e.platform = now
	if r.Set == nil {
		return nil
	}
	if r.Set.Stamp().Less(e.key(r.Key).stamp) {
		// A stale platform answers a watch at once; without this pause the
		// watcher would spin on it and spend the whole read budget.
		rd.next = now + retryBase
	}
	return e.offer(now, r.Key, r.Set)
}

func (e *Engine) reader(key string) *reader {
	r, ok := e.reads[key]
	if !ok {
		r = &reader{}
		e.reads[key] = r
	}
	return r
}

// Tick runs what is due. Call it a few times a second.
func (e *Engine) Tick(now clock.Milli) []Action {
	e.init(now)
	var out []Action
	for _, v := range e.sorted() {
		out = append(out, e.pull(now, v.name, v.versions)...)
	}
	for _, k := range e.WatchKeys {
		out = append(out, e.read(now, k, e.Watching(now))...)
	}
	for _, k := range e.wants {
		out = append(out, e.read(now, k, false)...)
	}
	return out
}

// SetRequiredKeys names further keys that this host needs. Those that no peer offers are
// read once from the platform; after that, peers bring what is newer.
func (e *Engine) SetRequiredKeys(keys []string) {
	e.wants = e.wants[:0]
	for _, k := range keys {
		if !slices.Contains(e.WatchKeys, k) {
			e.wants = append(e.wants, k)
		}
	}
}

func (e *Engine) read(now clock.Milli, key string, watch bool) []Action {
	rd := e.reader(key)
	if rd.busy || now < rd.next {
		return nil
	}
	missing := e.key(key).now == nil && now-e.started >= lonely
	if !watch && !missing {
		return nil
	}
	rd.busy = true
	after := e.key(key).stamp.Version
	return []Action{ReadPlatform{Key: key, After: after, Watch: watch && after > 0}}
}

// Watching tells whether this host watches the platform now. The first few of
// a failure domain do; when the platform has not been heard of for long, the
// next in rank join them, so that watchers which are cut off, frozen or gone
// are replaced without a vote. Only a bounded number ever joins.
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
	if e.Rank >= watchers+extraWatchers {
		return false
	}
	silent := now - max(e.platform, e.started)
	return silent > promote*clock.Milli(e.Rank-watchers+1)
}
