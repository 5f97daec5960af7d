package spread

import (
	"slices"
	"sort"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"dandelionstile/share/clock"
)

// Timing of the exchange, in milliseconds.
const (
	// pullTimeout is how long an asked peer may take before another is asked.
	pullTimeout clock.Milli = 300
	// lonely is how long a fresh host waits for peers before it asks the
	// platform itself.
	lonely = 2 * clock.Second
	// promote is the age of the platform's last word, per rank, after which
	// the next host in rank becomes a watcher too.
	promote = 3 * clock.Second
	// watchPause is the least time between two reads of a key. It bounds the
	// reads when the platform answers a watch at once with a stale value.
	watchPause clock.Milli = 250
	// retryBase and retryMax bound the pause after failed reads.
	retryBase = clock.Second
	retryMax  = 10 * clock.Second
	// serveMost is how many peers are sent a version per serveSpan.
	serveMost             = 4
	serveSpan clock.Milli = 400
	// history is how many versions are kept to make deltas from.
	history = 16
)

// Defaults for fields that are left zero.
const (
	// DefaultWatchers is how many hosts per failure domain watch the platform
	// in normal times.
	DefaultWatchers = 2
	// extraWatchers is how many more may be promoted in a failure domain.
	extraWatchers = 4
)

// Action is something for the program to do; one of the types below.
type Action interface{ action() }

// SendPull asks a peer for a delta.
type SendPull struct {
	Peer string
	Key  string
	Have Stamp
}

// SendDelta answers a peer's pull.
type SendDelta struct {
	Peer  string
	Delta Delta
}

// SendStamps tells a peer which versions are in force here. Key "" tells all.
type SendStamps struct {
	Peer   string
	Stamps map[string]Stamp
}

// ReadPlatform asks the platform for a key, waiting for a version other than
// the one given when Watch is set.
type ReadPlatform struct {
	Key   string
	After uint64
	Watch bool
}

// Adopt says that a version is now in force.
type Adopt struct {
	Key   string
	Set   *Set
	Stamp Stamp
}

// Refuse says that a version was found invalid; the former stays in force.
type Refuse struct {
	Key   string
	Stamp Stamp
	Err   error
}

func (SendPull) action()     {}
func (SendDelta) action()    {}
func (SendStamps) action()   {}
func (ReadPlatform) action() {}
func (Adopt) action()        {}
func (Refuse) action()       {}

// Read is the platform's answer to a ReadPlatform: a whole set, or an error.
// The program assembles the parts; Needs tells it which ones it lacks.
type Read struct {
	Key string
	Set *Set
	Err error
}

// Engine holds one host's versions. Fields are set before the first call and
// then left alone. It is used from one goroutine.
type Engine struct {
	// Keys are the keys that this host keeps from its start; keys heard from
	// peers are added.
	Keys []string
	// WatchKeys are the keys this host reads from the platform when its rank
	// makes it a watcher.
	WatchKeys []string
	// Rank is the host's place among those of its failure domain; -1 means
	// never a watcher. It may be changed when the host list changes.
	Rank int
	// Watchers is how many hosts of a failure domain watch the platform.
	Watchers int
	// Check is asked before a version goes in force. It must depend on the set
	// alone, so that every host comes to the same verdict.
	Check func(key string, s *Set) error

	started  clock.Milli
	platform clock.Milli // last word from the platform that is known of
	keys     map[string]*versions
	peers    map[string]*peer
	reads    map[string]*reader
	wants    []string
	digest   uint64
}

type versions struct {
	now     *Set
	stamp   Stamp
	past    []*Set
	refused Stamp
	// pull in flight
	asked   string
	askedAt clock.Milli
	tries   int
	// how often the version in force was served since servedAt
	served   int
	servedAt clock.Milli
}

type peer struct {
	stamps map[string]Stamp
	digest uint64
}

type reader struct {
	busy  bool
	next  clock.Milli
	pause clock.Milli
}

func (e *Engine) init(now clock.Milli) {
	if e.keys != nil {
		return
	}
	e.started = now
	e.keys = map[string]*versions{}
	e.peers = map[string]*peer{}
	e.reads = map[string]*reader{}
	for _, k := range e.Keys {
		e.keys[k] = &versions{}
	}
	for _, k := range e.WatchKeys {
		e.key(k)
	}
}

func (e *Engine) key(k string) *versions {
	v, ok := e.keys[k]
	if !ok {
		v = &versions{}
		e.keys[k] = v
	}
	return v
}

// Stamp returns the version in force for a key.
func (e *Engine) Stamp(key string) Stamp {
	if v, ok := e.keys[key]; ok {
		return v.stamp
	}
	return Stamp{}
}

// Set returns the version in force for a key, or nil.
func (e *Engine) Set(key string) *Set {
	if v, ok := e.keys[key]; ok {
		return v.now
	}
	return nil
}

// Digest sums up all versions in force; peers with the same digest have the
// same contents.
func (e *Engine) Digest() uint64 { return e.digest }

// PlatformAge is how long ago the platform was last heard by anyone this host
// knows of, and whether it ever was.
func (e *Engine) PlatformAge(now clock.Milli) (clock.Milli, bool) {
	if e.platform == 0 {
		return 0, false
	}
	return now - e.platform, true
}

// Beat takes a peer's heartbeat: the digest of its versions and the age of the
// platform's last word that it knows of.
func (e *Engine) Beat(now clock.Milli, from string, digest uint64, age clock.Milli, heard bool) []Action {
	e.init(now)
	p := e.peer(from)
	p.digest = digest
	if heard {
		e.platform = max(e.platform, now-age)
	}
	if digest == e.digest {
		return nil
	}
	return []Action{SendStamps{Peer: from, Stamps: e.all()}}
}

func (e *Engine) peer(name string) *peer {
	p, ok := e.peers[name]
	if !ok {
		p = &peer{stamps: map[string]Stamp{}}
		e.peers[name] = p
	}
	return p
}

func (e *Engine) all() map[string]Stamp {
	m := make(map[string]Stamp, len(e.keys))
	for k, v := range e.keys {
		if v.now != nil {
			m[k] = v.stamp
		}
	}
	return m
}

// PeerGone forgets a peer whose link is closed.
func (e *Engine) PeerGone(now clock.Milli, name string) []Action {
	e.init(now)
	delete(e.peers, name)
	var out []Action
	for _, v := range e.sorted() {
		if v.asked == name {
			v.asked = ""
			out = append(out, e.pull(now, v.name, v.versions)...)
		}
	}
	return out
}

type named struct {
	name string
	*versions
}

func (e *Engine) sorted() []named {
	list := make([]named, 0, len(e.keys))
	for k, v := range e.keys {
		list = append(list, named{k, v})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Stamps takes what a peer says it has in force, and pulls what is newer.
func (e *Engine) Stamps(now clock.Milli, from string, stamps map[string]Stamp) []Action {
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

// Pull answers a peer that asks for what is newer than a version it has.
func (e *Engine) Pull(now clock.Milli, from, key string, have Stamp) []Action {
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

// Delta takes a peer's answer to a pull.
func (e *Engine) Delta(now clock.Milli, from string, d Delta) []Action {
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

// Platform takes the platform's answer to a read.
func (e *Engine) Platform(now clock.Milli, r Read) []Action {
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

// Want names further keys that this host needs. Those that no peer offers are
// read once from the platform; after that, peers bring what is newer.
func (e *Engine) Want(keys []string) {
	e.wants = e.wants[:0]
	for _, k := range keys {
		if !slices.Contains(e.WatchKeys, k) {
			e.wants = append(e.wants, k)
		}
	}
}

// HeldKeys lists the keys that have a version in force.
func (e *Engine) HeldKeys() []string {
	var keys []string
	for _, v := range e.sorted() {
		if v.now != nil {
			keys = append(keys, v.name)
		}
	}
	return keys
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
