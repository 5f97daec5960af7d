package fanout

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/dedup"
	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Update is a caller's update. It runs on one leaf, at most once.
type Update struct {
	// RequestID identifies the request on this entry.
	RequestID uint64
	ID        dedup.ID
	Service   string
	Operation string
	Key       string
	Body      string
	Deadline  clock.Milli
}

// contentHash returns a hash of the operation and its arguments. A zero byte ends each,
// so that moving a byte from one to the next changes the hash.
func (u Update) contentHash() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{u.Service, u.Operation, u.Key, u.Body} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// UpdateResult is the result of an update.
type UpdateResult struct {
	Kind       query.Kind
	Reason     query.Reason
	RetryAfter clock.Milli
	Body       string
	// Strikes is as in query.Outcome.
	Strikes int
}

// SendUpdate sends an update to an aggregator. The entry must not send it again.
type SendUpdate struct {
	Host        string
	Call        uint64
	Leaf        string
	Fingerprint uint64
	Update      Update
}

// Forward sends an update to the host that minted its id.
type Forward struct {
	Host   string
	Update Update
}

// UpdateAnswered reports the result of an update.
type UpdateAnswered struct {
	RequestID uint64
	Result    UpdateResult
}

func (SendUpdate) action()     {}
func (Forward) action()        {}
func (UpdateAnswered) action() {}

// updates holds the running updates of this host.
type updates struct {
	registry  dedup.Registry[UpdateResult]
	running   map[uint64]*runningUpdate // by call id
	byID      map[dedup.ID]*runningUpdate
	forwarded map[uint64]*forwardedUpdate // by request id
}

// runningUpdate is an update that was sent to an aggregator. It is kept after its
// requests were answered for their deadline, until its outcome is known.
type runningUpdate struct {
	Update
	call    uint64
	host    string
	tried   map[string]bool
	waiting []uint64 // ids of all requests that wait for the result
}

type forwardedUpdate struct {
	Update
	host string
}

func (u *updates) init() {
	u.running = map[uint64]*runningUpdate{}
	u.byID = map[dedup.ID]*runningUpdate{}
	u.forwarded = map[uint64]*forwardedUpdate{}
}

func (u *updates) idle() bool { return len(u.running) == 0 && len(u.forwarded) == 0 }

// SetIncarnation sets the incarnation under which this process mints ids. It must
// be called once, before the first id is minted.
func (e *Engine) SetIncarnation(incarnation uint64) {
	e.init()
	e.updates.registry.Host = e.Self
	e.updates.registry.Incarnation = incarnation
}

// Mint returns n new ids for updates.
func (e *Engine) Mint(now clock.Milli, n int) ([]dedup.ID, error) {
	e.init()
	return e.updates.registry.Mint(now, n)
}

// StartUpdate starts an update, or answers it with the result that its id already
// has. A quarantined update is rejected before its id is looked up. An update whose id
// another host minted is forwarded to that host, the owner of the id, which alone decides
// whether it runs.
func (e *Engine) StartUpdate(now clock.Milli, u Update) []Action {
	e.init()
	registry := &e.updates.registry
	if u.ID.Host != registry.Host {
		e.updates.forwarded[u.RequestID] = &forwardedUpdate{Update: u, host: u.ID.Host}
		return []Action{Forward{Host: u.ID.Host, Update: u}}
	}
	if left, blocked := e.strikes.Blocked(now, fingerprintOf(u)); blocked {
		return answerUpdate(u.RequestID, UpdateResult{Kind: query.NotRun, Reason: query.ReasonQuarantined, RetryAfter: left})
	}
	verdict, result := registry.Begin(now, u.ID, u.contentHash())
	switch verdict {
	case dedup.Run:
		return e.runUpdate(now, u)
	case dedup.Join:
		r := e.updates.byID[u.ID]
		r.waiting = append(r.waiting, u.RequestID)
		return nil
	case dedup.Done:
		return answerUpdate(u.RequestID, result)
	case dedup.Reused, dedup.NeverMinted:
		return answerUpdate(u.RequestID, UpdateResult{Kind: query.NotRun, Reason: query.ReasonReused})
	case dedup.Foreign, dedup.Unknown: // below
	}
	return answerUpdate(u.RequestID, UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerGone})
}

// fingerprintOf identifies an update by its contents, for strikes.
func fingerprintOf(u Update) uint64 {
	return deny.Fingerprint(u.Service, u.Operation+"\x00"+u.Key+"\x00"+u.Body)
}

func answerUpdate(requestID uint64, r UpdateResult) []Action {
	return []Action{UpdateAnswered{RequestID: requestID, Result: r}}
}

// runUpdate sends a new update and keeps it by id, so that requests with the same id can
// wait for its result.
func (e *Engine) runUpdate(now clock.Milli, u Update) []Action {
	r := &runningUpdate{Update: u, tried: map[string]bool{}, waiting: []uint64{u.RequestID}}
	e.updates.byID[u.ID] = r
	return e.sendUpdate(now, r, query.ReasonNone)
}

// sendUpdate sends the update to the next replica, or ends it as not run if its
// deadline has passed or no replica is left. It is only called again after an outcome
// that shows that nothing ran.
func (e *Engine) sendUpdate(now clock.Milli, r *runningUpdate, lastReason query.Reason) []Action {
	if now >= r.Deadline {
		return e.endUpdate(r, UpdateResult{Kind: query.NotRun, Reason: query.ReasonDeadline, RetryAfter: defaultRetryAfter})
	}
	c, ok := e.updateLeaf(now, r)
	if !ok {
		if lastReason == query.ReasonNone {
			lastReason = query.ReasonNoReplica
		}
		return e.endUpdate(r, UpdateResult{Kind: query.NotRun, Reason: lastReason, RetryAfter: defaultRetryAfter})
	}
	r.tried[c.leaf.name] = true
	e.lastCall++
	r.call, r.host = e.lastCall, c.host
	e.updates.running[r.call] = r
	return []Action{SendUpdate{
		Host: c.host, Call: r.call, Leaf: c.leaf.name, Fingerprint: fingerprintOf(r.Update), Update: r.Update,
	}}
}

// updateLeaf chooses a replica, not tried yet, of the shard that the update's key
// hashes to. All hosts prefer the same replica for a key.
func (e *Engine) updateLeaf(now clock.Milli, r *runningUpdate) (candidate, bool) {
	s := e.services[r.Service]
	if s == nil {
		return candidate{}, false
	}
	pin, ok := e.choosePin(s)
	if !ok {
		return candidate{}, false
	}
	shards := s.shards[pin.Layout]
	shard := int(xxhash.Sum64String(r.Key) % uint64(len(shards)))
	var names []string
	var list []candidate
	for _, f := range shards[shard] {
		if r.tried[f.name] || !e.usable(f, pin) {
			continue
		}
		if c, ok := e.candidateFor(now, f, nil); ok {
			names = append(names, f.name)
			list = append(list, c)
		}
	}
	i := assign.BestIndex(names, r.Key)
	if i < 0 {
		return candidate{}, false
	}
	return list[i], true
}

// UpdateDone handles the outcome of an update sent to an aggregator. It is retried
// on another replica only if nothing ran. A crash counts as a strike and is answered
// as Unknown.
func (e *Engine) UpdateDone(now clock.Milli, call uint64, res UpdateResult) []Action {
	r := e.updates.running[call]
	if r == nil {
		return nil
	}
	delete(e.updates.running, call)
	switch {
	case !res.Kind.MayHaveRun():
		return e.sendUpdate(now, r, res.Reason)
	case res.Kind == query.Died:
		e.recordCrash(now, fingerprintOf(r.Update), res.Strikes, res.RetryAfter)
		res.Kind, res.RetryAfter = query.Unknown, 0
	}
	return e.endUpdate(r, res)
}

// endUpdate answers all requests that wait for an update. The result of an update that
// may have run is kept for resends; one that did not run may be sent again with the
// same id.
func (e *Engine) endUpdate(r *runningUpdate, res UpdateResult) []Action {
	delete(e.updates.byID, r.ID)
	if res.Kind.MayHaveRun() {
		e.updates.registry.Finish(r.ID, res)
	} else {
		e.updates.registry.Release(r.ID)
	}
	var out []Action
	for _, requestID := range r.waiting {
		out = append(out, UpdateAnswered{RequestID: requestID, Result: res})
	}
	return out
}

// ForwardDone answers a forwarded update with the owner's result. It does nothing if the
// update has been answered, for example at its deadline.
func (e *Engine) ForwardDone(requestID uint64, res UpdateResult) []Action {
	if _, ok := e.updates.forwarded[requestID]; !ok {
		return nil
	}
	delete(e.updates.forwarded, requestID)
	return answerUpdate(requestID, res)
}

// ForwardFailed handles an owner that could not be reached. Nothing ran this time,
// but an earlier request with the same id may have run, so the result is unknown.
func (e *Engine) ForwardFailed(requestID uint64) []Action {
	return e.ForwardDone(requestID, UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerAway, RetryAfter: defaultRetryAfter})
}

// updatesHostDown ends the updates that were sent over a lost link as Unknown, since they
// may have run.
func (e *Engine) updatesHostDown(now clock.Milli, host string) []Action {
	var lost []uint64
	for call, r := range e.updates.running {
		if r.host == host {
			lost = append(lost, call)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	var out []Action
	for _, call := range lost {
		out = append(out, e.UpdateDone(now, call, UpdateResult{Kind: query.Unknown, Reason: query.ReasonUnreachable})...)
	}
	return out
}

// OwnerDown answers the updates that were forwarded to a host whose link was lost, as
// ForwardFailed does.
func (e *Engine) OwnerDown(host string) []Action {
	var lost []uint64
	for requestID, update := range e.updates.forwarded {
		if update.host == host {
			lost = append(lost, requestID)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	var out []Action
	for _, requestID := range lost {
		out = append(out, e.ForwardFailed(requestID)...)
	}
	return out
}

// tickUpdates answers the updates whose deadline has passed as unknown. An update that
// was sent may still be running; its outcome is recorded for a resend.
func (e *Engine) tickUpdates(now clock.Milli) []Action {
	var out []Action
	var expired []*runningUpdate
	for _, r := range e.updates.running {
		if now >= r.Deadline && len(r.waiting) > 0 {
			expired = append(expired, r)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i].call < expired[j].call })
	for _, r := range expired {
		for _, requestID := range r.waiting {
			out = append(out, UpdateAnswered{RequestID: requestID, Result: UpdateResult{
				Kind: query.Unknown, Reason: query.ReasonDeadline, RetryAfter: defaultRetryAfter,
			}})
		}
		r.waiting = nil
	}
	var expiredForwards []uint64
	for requestID, update := range e.updates.forwarded {
		if now >= update.Deadline {
			expiredForwards = append(expiredForwards, requestID)
		}
	}
	sort.Slice(expiredForwards, func(i, j int) bool { return expiredForwards[i] < expiredForwards[j] })
	for _, requestID := range expiredForwards {
		out = append(out, e.ForwardFailed(requestID)...)
	}
	return out
}
