package router

import (
	"dandelionstile/share/call"
	"dandelionstile/share/clock"
	"dandelionstile/share/route"
)

// query is one request under way. A request for one leaf is a query over one
// shard whose reply is handed on unread.
type query struct {
	id      uint64
	request *call.Request
	// fingerprint is the request's fingerprint, and well is set once a leaf has
	// answered it well.
	fingerprint uint64
	well        bool
	// sample is a hash of the request, from 0 to 1, the same on all hosts.
	sample  float64
	route   *route.Route
	version uint64
	arrived clock.Milli
	// target is when an answer must leave to have its full worth; end is when
	// the caller is told that there is none.
	target, end clock.Milli
	// late queries came with their route's target passed. Their answer is
	// still of use, but no later answer makes a difference to what they lost,
	// while they can make those late that still can be in time.
	late     bool
	shards   []*shard
	in, lost int
	// newest is the shard that was answered last.
	newest *shard
	extra  int
	// held is set once a second call was withheld, which is logged once.
	held   bool
	wakeAt clock.Milli
	// ran is set once a leaf may have begun to work.
	ran  bool
	over bool
	// crowded is set once another host had no room for a part of the query.
	crowded bool
	// forwarded queries are parts of another host's query; an answer with any
	// of the shards is of use to it.
	forwarded bool
	// counted queries are among those that the limiter bounds.
	counted bool
	// missed is set once the target has passed without an answer.
	missed bool
	// merged are the answers of other hosts for parts of the query.
	merged []*call.Reply
}

// shard is one part of a query.
type shard struct {
	query   *query
	service string
	calls   []*attempt
	// in is set once the shard is answered, by a leaf's reply or within the
	// answer of the host that it was handed to, which is away until then.
	in    bool
	reply *call.Reply
	away  *forward
	// tries counts calls that may have run.
	tries   int
	lost    bool
	waiting bool
	// sentAt is when the last call was sent, hedgeAt when another leaf is
	// asked.
	sentAt, hedgeAt clock.Milli
	cause           string
	last            string // the leaf asked last
}

func (s *shard) settled() bool { return s.in || s.lost }

// asked tells whether a leaf was already asked for this shard.
func (s *shard) asked(f *leaf) bool {
	for _, a := range s.calls {
		if a.leaf == f {
			return true
		}
	}
	return false
}

// pending is how many calls of the shard are under way.
func (s *shard) pending() int {
	n := 0
	if s.away != nil {
		n++
	}
	for _, a := range s.calls {
		if !a.over {
			n++
		}
	}
	return n
}

// missing lists the shards that an answer lacks.
func (q *query) missing() []MissingShard {
	var list []MissingShard
	for _, s := range q.shards {
		if !s.in {
			list = append(list, MissingShard{Service: s.service, Leaf: s.last, Cause: s.state()})
		}
	}
	return list
}

// absent names the shards that are not in.
func (q *query) absent() []string {
	var list []string
	for _, s := range q.shards {
		if !s.in {
			list = append(list, s.service)
		}
	}
	return list
}

func (s *shard) state() string {
	switch {
	case s.cause != "" && s.pending() == 0:
		return s.cause
	case s.waiting:
		return "waited for room"
	case s.pending() > 0:
		return "no reply yet"
	}
	return "not asked"
}

// stuck tells whether another leaf is to be asked for a shard: its call has
// failed, or is slow.
func (s *shard) stuck(now clock.Milli) bool {
	return !s.settled() && !s.waiting && s.away == nil && now >= s.hedgeAt
}

// parts are the replies that came in.
func (q *query) parts() []*call.Reply {
	list := append(make([]*call.Reply, 0, q.in), q.merged...)
	for _, s := range q.shards {
		if s.reply != nil {
			list = append(list, s.reply)
		}
	}
	return list
}

// fullWait learns how long a route's callers are ready to wait from their first
// attempt on. A caller that comes back names what is left of it, which tells
// how much of its target has passed. It is the value named most often
// (Boyer and Moore's majority vote): callers of one kind name the same, those
// that come back name all kinds of remainders.
type fullWait struct {
	value clock.Milli
	votes float64
}

const (
	// mostVotes bounds how long a changed value takes to be learnt.
	mostVotes = 50
	// guessVotes is how firmly a route's timeout is taken for its callers' wait
	// until they have named one. After the return of all hosts the first
	// requests, some twenty a host and route, are of callers that come back;
	// without a guess the first of them would pass for a full wait and all
	// others for being in time.
	guessVotes = 25
	// nearVote is the weight of a wait that is less by a round trip at most:
	// that of a first request on a new connection.
	nearVote = 0.1
)

// newFullWait starts from a route's timeout; 0 is none.
func newFullWait(timeout clock.Milli) *fullWait {
	if timeout <= 0 {
		return &fullWait{}
	}
	return &fullWait{value: timeout, votes: guessVotes}
}

func (w *fullWait) learn(wait clock.Milli) {
	switch {
	case w.votes <= 0:
		w.value, w.votes = wait, 1
	case w.value == wait:
		w.votes = min(w.votes+1, mostVotes)
	case wait < w.value && w.value-wait <= maxRoundTrip:
		w.votes -= nearVote
	default:
		w.votes--
	}
}

// passed is how long ago the first attempt of a caller began.
func (w *fullWait) passed(wait clock.Milli) clock.Milli {
	if wait <= 0 || wait >= w.value {
		return 0
	}
	return w.value - wait
}
