package syncer

import (
	"sort"

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

// ReadResult is the platform's answer to a ReadPlatform: a whole set, or an error.
// The program assembles the parts; Needs tells it which ones it lacks.
type ReadResult struct {
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

// HandleHeartbeat takes a peer's heartbeat: the digest of its versions and the age of the
// platform's last word that it knows of.
func (e *Engine) HandleHeartbeat(now clock.Milli, from string, digest uint64, age clock.Milli, heard bool) []Action {
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

// RemovePeer forgets a peer whose link is closed.
func (e *Engine) RemovePeer(now clock.Milli, name string) []Action {
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
