package syncer

import (
	"sort"

	"dandelionstile/share/clock"
)

// Timing and limits of the exchange.
const (
	// pullTimeout is how long to wait for a peer's delta before asking another peer.
	pullTimeout clock.Milli = 300
	// startupPeerWait is how long a starting host waits for its peers to offer a key
	// before it reads the platform itself.
	startupPeerWait = 2 * clock.Second
	// promoteAfter is the time without contact to the platform, per rank, after which
	// the host next in rank becomes a watcher too.
	promoteAfter = 3 * clock.Second
	// minReadInterval is the minimum time between two reads of a key. It limits the
	// reads when the platform answers each watch immediately, as with a version that this
	// host rejected. After a stale version, retryBase applies.
	minReadInterval clock.Milli = 250
	// retryBase and retryMax bound the delay after failed reads. retryBase is also the
	// delay after a stale version.
	retryBase = clock.Second
	retryMax  = 10 * clock.Second
	// maxServes is how many deltas of a key are sent per serveWindow.
	maxServes               = 4
	serveWindow clock.Milli = 400
	// maxPrevious is how many previous versions are kept to compute deltas from.
	maxPrevious = 16
)

// Numbers of watchers.
const (
	// DefaultWatchers is how many hosts per failure domain watch the platform while
	// it can be reached, if Engine.Watchers is 0.
	DefaultWatchers = 2
	// maxExtraWatchers is how many more hosts of a failure domain may be promoted.
	maxExtraWatchers = 4
)

// Action is an instruction to the process that runs the engine; one of the types below.
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

// SendStamps sends a peer stamps of versions in force here, so that it pulls those that
// are newer than its own.
type SendStamps struct {
	Peer   string
	Stamps map[string]Stamp
}

// ReadPlatform asks the platform for a key. After is the version in force here, 0 for
// none. If Watch is set, the platform answers only once it has a version other than After,
// or when the watch times out.
type ReadPlatform struct {
	Key   string
	After uint64
	Watch bool
}

// Adopt reports that a version is now in force.
type Adopt struct {
	Key   string
	Set   *Set
	Stamp Stamp
}

// Reject reports that a version is invalid; the previous one stays in force.
type Reject struct {
	Key   string
	Stamp Stamp
	Err   error
}

func (SendPull) action()     {}
func (SendDelta) action()    {}
func (SendStamps) action()   {}
func (ReadPlatform) action() {}
func (Adopt) action()        {}
func (Reject) action()       {}

// ReadResult is the result of a ReadPlatform: a whole set, an error, or neither if a
// watch ended without a change. The process that runs the engine assembles the set from
// its parts.
type ReadResult struct {
	Key string
	Set *Set
	Err error
}

// Engine holds one host's versions. Its fields are set before the first call and
// not changed afterwards, except Rank. It is not safe for concurrent use.
type Engine struct {
	// Keys are the keys that this host keeps from the start; keys that peers offer
	// are added.
	Keys []string
	// WatchKeys are the keys that this host reads from the platform while its rank
	// makes it a watcher.
	WatchKeys []string
	// Rank is the host's rank among those of its failure domain; -1 means that it is
	// never a watcher. It may be changed when the host list changes.
	Rank int
	// Watchers is how many hosts of a failure domain watch the platform; 0 means
	// DefaultWatchers.
	Watchers int
	// Check validates a version before it goes into force; nil accepts all. Its result
	// must depend on the set alone, so that every host reaches the same result.
	Check func(key string, s *Set) error

	started           clock.Milli
	platformContactAt clock.Milli // last contact to the platform that this host or a peer reported; 0 for none
	keys              map[string]*keyState
	peers             map[string]*peer
	readers           map[string]*reader
	requiredKeys      []string
	digest            uint64
}

// keyState holds the versions of one key.
type keyState struct {
	current  *Set
	stamp    Stamp
	previous []*Set
	rejected Stamp // of the last invalid version, so that it is not pulled again
	// pullPeer is the peer whose delta is awaited since pulledAt; empty if none is.
	pullPeer    string
	pulledAt    clock.Milli
	attempts    int // pulls since a version was adopted or none was offered; selects the peer to ask
	served      int // deltas sent since windowStart
	windowStart clock.Milli
}

// peer is what is known about the versions of a peer.
type peer struct {
	stamps map[string]Stamp
	digest uint64
}

// init creates the maps at the first call and sets the start time.
func (e *Engine) init(now clock.Milli) {
	if e.keys != nil {
		return
	}
	e.started = now
	e.keys = map[string]*keyState{}
	e.peers = map[string]*peer{}
	e.readers = map[string]*reader{}
	for _, k := range e.Keys {
		e.keys[k] = &keyState{}
	}
	for _, k := range e.WatchKeys {
		e.stateOf(k)
	}
}

// stateOf returns the state of a key, and adds the key if it is new.
func (e *Engine) stateOf(k string) *keyState {
	state, ok := e.keys[k]
	if !ok {
		state = &keyState{}
		e.keys[k] = state
	}
	return state
}

// Stamp returns the stamp of the version in force for a key, or the zero Stamp.
func (e *Engine) Stamp(key string) Stamp {
	if v, ok := e.keys[key]; ok {
		return v.stamp
	}
	return Stamp{}
}

// Set returns the version in force for a key, or nil.
func (e *Engine) Set(key string) *Set {
	if v, ok := e.keys[key]; ok {
		return v.current
	}
	return nil
}

// Digest returns a hash over all versions in force; peers with the same digest have
// the same contents.
func (e *Engine) Digest() uint64 { return e.digest }

// PlatformAge returns the time since the last contact to the platform that this
// host or a peer reported, and whether there was one.
func (e *Engine) PlatformAge(now clock.Milli) (clock.Milli, bool) {
	if e.platformContactAt == 0 {
		return 0, false
	}
	return now - e.platformContactAt, true
}

// HandleHeartbeat processes a peer's heartbeat: the digest of its versions and, if known,
// the time since any host it knows of last reached the platform. If the digests differ,
// it sends the peer the stamps of all versions in force.
func (e *Engine) HandleHeartbeat(now clock.Milli, from string, digest uint64, platformAge clock.Milli, platformAgeKnown bool) []Action {
	e.init(now)
	p := e.peerOf(from)
	p.digest = digest
	if platformAgeKnown {
		e.platformContactAt = max(e.platformContactAt, now-platformAge)
	}
	if digest == e.digest {
		return nil
	}
	return []Action{SendStamps{Peer: from, Stamps: e.allStamps()}}
}

// peerOf returns the record of a peer, and adds one if there is none.
func (e *Engine) peerOf(name string) *peer {
	p, ok := e.peers[name]
	if !ok {
		p = &peer{stamps: map[string]Stamp{}}
		e.peers[name] = p
	}
	return p
}

// allStamps returns the stamps of all versions in force, by key.
func (e *Engine) allStamps() map[string]Stamp {
	m := make(map[string]Stamp, len(e.keys))
	for k, v := range e.keys {
		if v.current != nil {
			m[k] = v.stamp
		}
	}
	return m
}

// RemovePeer removes a peer whose link is closed. Pulls that it has not answered go to
// other peers.
func (e *Engine) RemovePeer(now clock.Milli, name string) []Action {
	e.init(now)
	delete(e.peers, name)
	var out []Action
	for _, v := range e.sortedKeys() {
		if v.pullPeer == name {
			v.pullPeer = ""
			out = append(out, e.pull(now, v.name, v.keyState)...)
		}
	}
	return out
}

type namedKey struct {
	name string
	*keyState
}

// sortedKeys returns the keys by name, so that actions come in the same order each time.
func (e *Engine) sortedKeys() []namedKey {
	list := make([]namedKey, 0, len(e.keys))
	for k, v := range e.keys {
		list = append(list, namedKey{k, v})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// HeldKeys lists the keys that have a version in force, in alphabetical order.
func (e *Engine) HeldKeys() []string {
	var keys []string
	for _, v := range e.sortedKeys() {
		if v.current != nil {
			keys = append(keys, v.name)
		}
	}
	return keys
}
