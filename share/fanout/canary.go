package fanout

import (
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// maxCanaries limits how many leaves may run a query before one has completed it,
// and so how many servers a crashing query can bring down.
const maxCanaries = 2

// provenKey identifies the query and the snapshot it is pinned to.
func (q *activeQuery) provenKey() deny.ProvenKey {
	return deny.ProvenKey{Fingerprint: q.fingerprint, Layout: q.pin.Layout, Version: q.pin.Version}
}

// sendCanary sends the query to one leaf before the other leaves get it. It reports
// false if no leaf can run it.
func (e *Engine) sendCanary(now clock.Milli, q *activeQuery) ([]Action, bool) {
	c, shard, ok := e.canaryLeaf(now, q)
	if !ok {
		return nil, false
	}
	q.canaries++
	q.canaryAttempts++
	b := batches{}
	e.addCall(now, q, shard, c, true /* canary */, EventCanary, &b)
	return b.actions(), true
}

// provenElsewhere handles an aggregator's report that a leaf has completed the
// query before, so the canary was not run. In the canary phase the query is sent to
// all shards; otherwise a replica is called for the shard of that canary, if there is
// one. The leaf that didn't run the canary may be called again.
func (e *Engine) provenElsewhere(now clock.Milli, q *activeQuery, a *attempt) []Action {
	st := &q.shards[a.shard]
	delete(st.tried, a.leaf.name)
	e.proven.Add(q.provenKey())
	if q.canaryPhase {
		return e.fanOut(now, q)
	}
	b := batches{}
	if list := e.candidates(now, q, a.shard); len(list) > 0 && st.inFlight == 0 {
		e.addCall(now, q, a.shard, e.choose(list), false /* canary */, EventSent, &b)
	}
	return b.actions()
}

// canaryFailed retries the canary on another leaf. A leaf that rejected it has not
// run it and proves nothing, but no more than maxCanaries leaves may run it. While
// another canary is in flight, it waits for that one; if none may be sent, the query
// is answered without the open shards.
func (e *Engine) canaryFailed(now clock.Milli, q *activeQuery, o query.Outcome) []Action {
	if !o.Kind.MayHaveRun() || o.Reason == query.ReasonSilent {
		// A silent connection is no evidence against the request: a crashed server
		// would have closed it.
		q.canaries--
	}
	if len(q.inFlight) > 0 {
		return nil
	}
	if q.canaries < maxCanaries && q.canaryAttempts < maxAttempts {
		if out, sent := e.sendCanary(now, q); sent {
			return out
		}
	}
	return e.answerPartial(now, q, o.Reason)
}

// canaryCrashed handles the crash of a server under a query's canary. The server
// may have crashed for another reason, so the query gets a second canary; if that
// crashes too, the query is quarantined. The peers learn of each crash before the
// second canary and before the refusal (StrikeShared), so that a resend through
// another host doesn't run meanwhile.
func (e *Engine) canaryCrashed(now clock.Milli, q *activeQuery) []Action {
	q.crashes++
	strike := e.strikes.Get(now, q.fingerprint)
	if q.crashes >= maxCanaries && strike.Count < maxCanaries {
		// The aggregator of each server counts one crash and doesn't know of the
		// other.
		strike.Count, strike.TimeLeft = maxCanaries, deny.QuarantineDuration
		e.strikes.Merge(now, strike)
	}
	if strike.Count < maxCanaries && len(q.inFlight) > 0 {
		return []Action{ShareStrike{Strike: strike}} // wait for the other canary
	}
	q.sharingStrike = true
	q.strikeDeadline = now + strikeShareTimeout
	return append(e.cancelAll(q), ShareStrike{Query: q.ID, Strike: strike})
}

// recordCrash merges an aggregator's report of a crash: how many servers the request has
// crashed, and how long it is blocked. It also removes the request from those that a leaf
// has completed. Only aggregators count crashes; counting here as well would count each
// crash twice.
func (e *Engine) recordCrash(now clock.Milli, fingerprint uint64, strikes int, left clock.Milli) {
	e.strikes.Merge(now, deny.Strike{Fingerprint: fingerprint, Count: max(1, strikes), TimeLeft: left})
	e.proven.Remove(fingerprint)
}

// StrikeShared continues a query once the peers know of its strike, or after
// strikeShareTimeout: with a second canary if one may be sent, or else with a refusal.
func (e *Engine) StrikeShared(now clock.Milli, id uint64) []Action {
	q := e.queries[id]
	if q == nil || !q.sharingStrike {
		return nil
	}
	strike := e.strikes.Get(now, q.fingerprint)
	if strike.Count < maxCanaries && q.canaries < maxCanaries && now < q.answerBy {
		if out, sent := e.sendCanary(now, q); sent {
			q.sharingStrike = false
			return out
		}
	}
	return e.answerRefused(now, q, query.ReasonCrashed, strike.TimeLeft)
}

// hedgeCanary sends a second canary if the first is slow and the budget allows it.
// There is never a third, since a request may crash at most two servers.
func (e *Engine) hedgeCanary(now clock.Milli, q *activeQuery) []Action {
	if e.Policy.NoHedge || q.canaries >= maxCanaries {
		return nil
	}
	delay := q.service.timing.delay(now, e.hedgeQuantile())
	for i := range q.shards {
		if st := &q.shards[i]; st.inFlight > 0 && now-st.sentAt < delay {
			return nil
		}
	}
	if !e.spendBudget(q.service) {
		q.canaries = maxCanaries // not tried again at the next tick
		return nil
	}
	out, sent := e.sendCanary(now, q)
	if !sent {
		q.canaries = maxCanaries // as above
	}
	return out
}
