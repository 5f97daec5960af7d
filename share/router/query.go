package router

import (
	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/route"
)

// query is a request in flight. A request for a single leaf is a query over one
// shard whose reply is returned unread.
type query struct {
	id      uint64
	request *call.Request
	// fingerprint identifies the request in crash reports, and proven is set once
	// a leaf has answered it properly.
	fingerprint uint64
	proven      bool
	// sample is a hash of the request's ID, from 0 to 1, the same on all hosts.
	sample float64
	route  *route.Route
	// version is that of the configuration when the query arrived.
	version uint64
	arrived clock.Milli
	// target is when an answer must be sent to be in time; deadline is when a query
	// without an answer is refused.
	target, deadline clock.Milli
	// late queries arrived too late to be answered by their route's target. Their answer is still of
	// use, but answering sooner gains them nothing, while their load can make
	// queries late that can still be in time.
	late   bool
	shards []*shard
	// answered and abandoned count the settled shards.
	answered, abandoned int
	// lastAnswered is the shard that was answered last.
	lastAnswered *shard
	// extraCalls is the number of hedges and retries that were charged to the budget.
	extraCalls int
	// withheld is set once a hedge or retry was withheld for lack of budget, which is
	// logged once.
	withheld bool
	// timerAt is when the query is checked next; 0 if no check is scheduled.
	timerAt clock.Milli
	// maybeRan is set once a leaf may have begun to run the request.
	maybeRan bool
	ended    bool
	// peerFull is set once another host had no capacity for a part of the query.
	peerFull bool
	// forwarded queries are parts of another host's query; an answer with any of
	// the shards is of use to it.
	forwarded bool
	// counted queries count towards the limiter's limit.
	counted bool
	// targetMissed is set once the limiter has counted the query as late.
	targetMissed bool
	// peerAnswers are the answers of other hosts to parts of the query.
	peerAnswers []*call.Reply
}

// shard is one part of a query.
type shard struct {
	query   *query
	service string
	calls   []*attempt
	// answered is set once the shard has a reply, from a leaf or within the answer
	// of the host to which it is forwarded; forward is set while that forward is in flight.
	answered bool
	reply    *call.Reply
	forward  *forward
	// possibleRuns counts the calls and forwards that may have run the request.
	possibleRuns int
	// abandoned is set once the query does without the shard.
	abandoned bool
	// queued is set while the shard waits for a leaf with capacity.
	queued bool
	// sentAt is when the last call or forward was sent, hedgeAt when another leaf may be
	// called.
	sentAt, hedgeAt clock.Milli
	// cause is why the last call gave no reply, or why the shard was abandoned.
	cause      string
	lastTarget string // the leaf or host called last
}

// settled reports whether nothing more is done for the shard.
func (s *shard) settled() bool { return s.answered || s.abandoned }

// tried reports whether leaf f has been called for this shard.
func (s *shard) tried(f *leaf) bool {
	for _, a := range s.calls {
		if a.leaf == f {
			return true
		}
	}
	return false
}

// pending returns the number of the shard's calls in flight, with its forward.
func (s *shard) pending() int {
	n := 0
	if s.forward != nil {
		n++
	}
	for _, a := range s.calls {
		if !a.ended {
			n++
		}
	}
	return n
}

// missingShards returns the shards that an answer lacks, with causes.
func (q *query) missingShards() []MissingShard {
	var list []MissingShard
	for _, s := range q.shards {
		if !s.answered {
			list = append(list, MissingShard{Service: s.service, Leaf: s.lastTarget, Cause: s.missingCause()})
		}
	}
	return list
}

// missingServices returns the names of the shards that an answer lacks.
func (q *query) missingServices() []string {
	var list []string
	for _, s := range q.shards {
		if !s.answered {
			list = append(list, s.service)
		}
	}
	return list
}

// missingCause returns why an answer lacks the shard, for the log.
func (s *shard) missingCause() string {
	switch {
	case s.cause != "" && s.pending() == 0:
		return s.cause
	case s.queued:
		return "queued for capacity"
	case s.pending() > 0:
		return "no reply yet"
	}
	return "not called"
}

// hedgeDue reports whether another leaf is to be called for a shard: its call has
// failed or is slow.
func (s *shard) hedgeDue(now clock.Milli) bool {
	return !s.settled() && !s.queued && s.forward == nil && now >= s.hedgeAt
}

// parts returns the replies of leaves and the answers of other hosts.
func (q *query) parts() []*call.Reply {
	list := append(make([]*call.Reply, 0, q.answered), q.peerAnswers...)
	for _, s := range q.shards {
		if s.reply != nil {
			list = append(list, s.reply)
		}
	}
	return list
}

// waitEstimate learns how long a route's callers wait in total from their first
// attempt on. A retry names what is left of that wait, which shows how much of its
// target has passed. The estimate is the value named most often (Boyer and Moore's
// majority vote): first attempts of one kind of caller name the same value, retries
// name arbitrary remainders.
type waitEstimate struct {
	value clock.Milli
	votes float64
}

const (
	// maxVotes bounds how long it takes to learn a changed value.
	maxVotes = 50
	// initialVotes is the weight of a route's timeout as its callers' wait until
	// they have named one. When all hosts restart together, the first requests,
	// about twenty per host and route, are retries; without an initial value the
	// first of them would count as a full wait and all others as being in time.
	initialVotes = 25
	// nearVote is the weight against the estimate of a wait that is shorter by at most
	// maxRoundTrip: it may be that of a first request on a new connection.
	nearVote = 0.1
)

// newWaitEstimate starts from a route's timeout, or from no estimate if that is 0.
func newWaitEstimate(timeout clock.Milli) *waitEstimate {
	if timeout <= 0 {
		return &waitEstimate{}
	}
	return &waitEstimate{value: timeout, votes: initialVotes}
}

// learn updates the estimate with the wait that a request names.
func (w *waitEstimate) learn(wait clock.Milli) {
	switch {
	case w.votes <= 0:
		w.value, w.votes = wait, 1
	case w.value == wait:
		w.votes = min(w.votes+1, maxVotes)
	case wait < w.value && w.value-wait <= maxRoundTrip:
		w.votes -= nearVote
	default:
		w.votes--
	}
}

// sinceFirstAttempt estimates how long ago a caller's first attempt began, from the wait that
// its request names. It returns 0 for a first attempt, and if there is no estimate.
func (w *waitEstimate) sinceFirstAttempt(wait clock.Milli) clock.Milli {
	if wait <= 0 || wait >= w.value {
		return 0
	}
	return w.value - wait
}
