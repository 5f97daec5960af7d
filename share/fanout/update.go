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

// Update is a caller's change on one leaf.
type Update struct {
	// RequestID is this entry's own name for the request.
	RequestID uint64
	ID        dedup.ID
	Service   string
	Operation string
	Key       string
	Body      string
	Deadline  clock.Milli
}

// content identifies what an update would do.
func (u Update) content() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{u.Service, u.Operation, u.Key, u.Body} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64()
}

// UpdateResult is what a caller gets for an update.
type UpdateResult struct {
	Kind       query.Kind
	Reason     query.Reason
	RetryAfter clock.Milli
	Body       string
	// Strikes is as in query.Outcome.
	Strikes int
}

// SendUpdate hands an update to an aggregator. It is sent once.
type SendUpdate struct {
	Host        string
	Call        uint64
	Leaf        string
	Fingerprint uint64
	Update      Update
}

// Forward hands an update to the host that minted its id.
type Forward struct {
	Host   string
	Update Update
}

// UpdateAnswered gives an update its result.
type UpdateAnswered struct {
	RequestID uint64
	Result    UpdateResult
}

func (SendUpdate) action()     {}
func (Forward) action()        {}
func (UpdateAnswered) action() {}

// updates holds the updates under way on this host.
type updates struct {
	book    dedup.Registry[UpdateResult]
	running map[uint64]*runningUpdate // by call
	byID    map[dedup.ID]*runningUpdate
	away    map[uint64]*forwarded // by number
}

type runningUpdate struct {
	Update
	call    uint64
	host    string
	tried   map[string]bool
	waiting []uint64 // numbers of all requests that wait for the result
}

type forwarded struct {
	Update
	host string
}

func (u *updates) init() {
	u.running = map[uint64]*runningUpdate{}
	u.byID = map[dedup.ID]*runningUpdate{}
	u.away = map[uint64]*forwarded{}
}

func (u *updates) idle() bool { return len(u.running) == 0 && len(u.away) == 0 }

// SetIncarnation names this process as the owner of the ids that it mints. Call it
// once, before anything is minted.
func (e *Engine) SetIncarnation(incarnation uint64) {
	e.init()
	e.updates.book.Host = e.Self
	e.updates.book.Incarnation = incarnation
}

// Mint returns new ids for updates.
func (e *Engine) Mint(now clock.Milli, n int) ([]dedup.ID, error) {
	e.init()
	return e.updates.book.Mint(now, n)
}

// StartUpdate takes an update. An id minted elsewhere is forwarded to its
// owner; the owner alone decides whether it runs.
func (e *Engine) StartUpdate(now clock.Milli, u Update) []Action {
	e.init()
	book := &e.updates.book
	if u.ID.Host != book.Host {
		e.updates.away[u.RequestID] = &forwarded{Update: u, host: u.ID.Host}
		return []Action{Forward{Host: u.ID.Host, Update: u}}
	}
	if left, blocked := e.strikes.Blocked(now, fingerprintOf(u)); blocked {
		return answerUpdate(u.RequestID, UpdateResult{Kind: query.NotRun, Reason: query.ReasonQuarantined, RetryAfter: left})
	}
	verdict, result := book.Begin(now, u.ID, u.content())
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
	case dedup.Foreign, dedup.Unknown:
	}
	return answerUpdate(u.RequestID, UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerGone})
}

func fingerprintOf(u Update) uint64 {
	return deny.Fingerprint(u.Service, u.Operation+"\x00"+u.Key+"\x00"+u.Body)
}

func answerUpdate(number uint64, r UpdateResult) []Action {
	return []Action{UpdateAnswered{RequestID: number, Result: r}}
}

func (e *Engine) runUpdate(now clock.Milli, u Update) []Action {
	r := &runningUpdate{Update: u, tried: map[string]bool{}, waiting: []uint64{u.RequestID}}
	e.updates.byID[u.ID] = r
	return e.sendUpdate(now, r, query.ReasonNone)
}

// sendUpdate hands the update to the next replica. It is called again only
// after an outcome that says that nothing ran.
func (e *Engine) sendUpdate(now clock.Milli, r *runningUpdate, last query.Reason) []Action {
	if now >= r.Deadline {
		return e.endUpdate(r, UpdateResult{Kind: query.NotRun, Reason: query.ReasonDeadline, RetryAfter: lonelyAdvice})
	}
	c, ok := e.updateLeaf(now, r)
	if !ok {
		if last == query.ReasonNone {
			last = query.ReasonNoReplica
		}
		return e.endUpdate(r, UpdateResult{Kind: query.NotRun, Reason: last, RetryAfter: lonelyAdvice})
	}
	r.tried[c.leaf.name] = true
	e.lastCall++
	r.call, r.host = e.lastCall, c.host
	e.updates.running[r.call] = r
	return []Action{SendUpdate{
		Host: c.host, Call: r.call, Leaf: c.leaf.name, Fingerprint: fingerprintOf(r.Update), Update: r.Update,
	}}
}

// updateLeaf picks the replica that runs an update. All hosts prefer the same
// one for a key.
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
		if c, ok := e.candidate(now, f, nil); ok {
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

// UpdateDone takes the final word on an update that was sent to an
// aggregator. It is tried elsewhere only when nothing ran.
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
		e.died(now, fingerprintOf(r.Update), res.Strikes, res.RetryAfter)
		res.Kind, res.RetryAfter = query.Unknown, 0
	}
	return e.endUpdate(r, res)
}

// endUpdate answers everyone who waits for an update. One that did not run may
// be sent again with the same id.
func (e *Engine) endUpdate(r *runningUpdate, res UpdateResult) []Action {
	delete(e.updates.byID, r.ID)
	if res.Kind.MayHaveRun() {
		e.updates.book.Finish(r.ID, res)
	} else {
		e.updates.book.Release(r.ID)
	}
	var out []Action
	for _, n := range r.waiting {
		out = append(out, UpdateAnswered{RequestID: n, Result: res})
	}
	return out
}

// ForwardDone takes the owner's answer to a forwarded update.
func (e *Engine) ForwardDone(number uint64, res UpdateResult) []Action {
	if _, ok := e.updates.away[number]; !ok {
		return nil
	}
	delete(e.updates.away, number)
	return answerUpdate(number, res)
}

// ForwardFailed says that an update's owner was not reached. Nothing ran now,
// but an earlier sending of the id may have run, so the answer is unknown.
func (e *Engine) ForwardFailed(number uint64) []Action {
	return e.ForwardDone(number, UpdateResult{Kind: query.Unknown, Reason: query.ReasonOwnerAway, RetryAfter: lonelyAdvice})
}

// updatesHostDown ends the updates that were sent over a link that is gone:
// they may have run.
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

// OwnerDown ends the updates that were forwarded to a host whose link is gone.
func (e *Engine) OwnerDown(host string) []Action {
	var lost []uint64
	for n, f := range e.updates.away {
		if f.host == host {
			lost = append(lost, n)
		}
	}
	sort.Slice(lost, func(i, j int) bool { return lost[i] < lost[j] })
	var out []Action
	for _, n := range lost {
		out = append(out, e.ForwardFailed(n)...)
	}
	return out
}

// tickUpdates answers the updates whose deadline has passed. One that was sent
// may still run; its outcome is recorded when it comes, for a resend.
func (e *Engine) tickUpdates(now clock.Milli) []Action {
	var out []Action
	var late []*runningUpdate
	for _, r := range e.updates.running {
		if now >= r.Deadline && len(r.waiting) > 0 {
			late = append(late, r)
		}
	}
	sort.Slice(late, func(i, j int) bool { return late[i].call < late[j].call })
	for _, r := range late {
		for _, n := range r.waiting {
			out = append(out, UpdateAnswered{RequestID: n, Result: UpdateResult{
				Kind: query.Unknown, Reason: query.ReasonDeadline, RetryAfter: lonelyAdvice,
			}})
		}
		r.waiting = nil
	}
	var away []uint64
	for n, f := range e.updates.away {
		if now >= f.Deadline {
			away = append(away, n)
		}
	}
	sort.Slice(away, func(i, j int) bool { return away[i] < away[j] })
	for _, n := range away {
		out = append(out, e.ForwardFailed(n)...)
	}
	return out
}
