package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// maxCanaries is how many leafs may run a query before one has answered it, and
// so how many servers a query that crashes them can bring down.
const maxCanaries = 2

// proof names the query on the snapshot that it is pinned to.
func (q *running) proof() deny.ProvenKey {
	return deny.ProvenKey{Fingerprint: q.fingerprint, Layout: q.pin.Layout, Version: q.pin.Version}
}

// sendCanary sends the query to one leaf before all others see it.
func (e *Engine) sendCanary(now clock.Milli, q *running) ([]Action, bool) {
	c, shard, ok := e.canaryLeaf(now, q)
	if !ok {
		return nil, false
	}
	q.canaries++
	q.canaryTries++
	b := batches{}
	e.send(now, q, shard, c, true, EventCanary, &b)
	return b.actions(), true
}

// provenElsewhere takes an aggregator's word that a leaf has survived the query
// before: it goes out to all shards, and to the leaf that did not have to run
// the canary.
func (e *Engine) provenElsewhere(now clock.Milli, q *running, a *attempt) []Action {
	st := &q.shards[a.shard]
	delete(st.tried, a.leaf.name)
	e.good.Add(q.proof())
	if q.canary {
		return e.fan(now, q)
	}
	b := batches{}
	if list := e.candidates(now, q, a.shard); len(list) > 0 && st.flying == 0 {
		e.send(now, q, a.shard, e.choose(list), false, EventSent, &b)
	}
	return b.actions()
}

// canaryFailed moves the canary to another leaf. A leaf that refused has not
// run it and proves nothing; but only two may ever have run it.
func (e *Engine) canaryFailed(now clock.Milli, q *running, o query.Outcome) []Action {
	if !o.Kind.MayHaveRun() || o.Reason == query.ReasonSilent {
		// A connection that went silent says nothing of the request: a server
		// that it had brought down would have closed the connection.
		q.canaries--
	}
	if len(q.flying) > 0 {
		return nil
	}
	if q.canaries < maxCanaries && q.canaryTries < maxTries {
		if out, sent := e.sendCanary(now, q); sent {
			return out
		}
	}
	return e.answerPartial(now, q, o.Reason)
}

// crashed follows the death of a server under a query's canary. One server may
// have died for another reason, so the query gets a second canary; when that
// dies too, it is quarantined. In between, and before it is refused, the peers
// are told, so that a resend through another host does not run meanwhile.
func (e *Engine) crashed(now clock.Milli, q *running) []Action {
	q.deaths++
	strike := e.strikes.Get(now, q.fingerprint)
	if q.deaths >= maxCanaries && strike.Count < maxCanaries {
		// Each server's aggregator counts one crash and cannot know of the
		// other's.
		strike.Count, strike.TimeLeft = maxCanaries, deny.QuarantineTime
		e.strikes.Merge(now, strike)
	}
	if strike.Count < maxCanaries && len(q.flying) > 0 {
		return []Action{ShareStrike{Strike: strike}} // the other canary decides
	}
	q.struck = true
	q.strikeUntil = now + strikeWait
	return append(e.cancelAll(q), ShareStrike{Query: q.ID, Strike: strike})
}

// died takes a crash report. The aggregators count; an entry only learns, or one
// crash would count twice.
func (e *Engine) died(now clock.Milli, fingerprint uint64, strikes int, left clock.Milli) {
	e.strikes.Merge(now, deny.Strike{Fingerprint: fingerprint, Count: max(1, strikes), TimeLeft: left})
	e.good.Drop(fingerprint)
}

// StrikeShared says that the peers know of a query's strike.
func (e *Engine) StrikeShared(now clock.Milli, id uint64) []Action {
	q := e.queries[id]
	if q == nil || !q.struck {
		return nil
	}
	strike := e.strikes.Get(now, q.fingerprint)
	if strike.Count < maxCanaries && q.canaries < maxCanaries && now < q.until {
		if out, sent := e.sendCanary(now, q); sent {
			q.struck = false
			return out
		}
	}
	return e.answerRefused(now, q, query.ReasonCrashed, strike.TimeLeft)
}

// hedgeCanary sends a second canary when the first takes unusually long. There
// is never a third: a request may bring down two servers at the most.
func (e *Engine) hedgeCanary(now clock.Milli, q *running) []Action {
	if e.Policy.NoHedge || q.canaries >= maxCanaries {
		return nil
	}
	delay := q.service.timing.delay(now, e.hedgeQuantile())
	for i := range q.shards {
		if st := &q.shards[i]; st.flying > 0 && now-st.sentAt < delay {
			return nil
		}
	}
	if !e.extra(q.service) {
		q.canaries = maxCanaries
		return nil
	}
	out, sent := e.sendCanary(now, q)
	if !sent {
		q.canaries = maxCanaries
	}
	return out
}
