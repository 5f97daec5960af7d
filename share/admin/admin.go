// Package admin holds the JSON bodies of the admin endpoints, which entries and
// aggregators write and `stile` reads.
package admin

import (
	"fmt"

	"dandelionstile/share/deny"
	"dandelionstile/share/query"
)

// Status is the body of /v1/status. Only an aggregator sets Leaves, and only an entry
// sets Services.
type Status struct {
	Node     Node      `json:"node"`
	Leaves   []Leaf    `json:"leafs,omitempty"`
	Services []Service `json:"services,omitempty"`
	Strikes  []Strike  `json:"quarantine,omitempty"`
}

// Node is the part of the status that entries and aggregators share.
type Node struct {
	Host        string `json:"host"`
	Domain      string `json:"failure-domain"`
	Program     string `json:"program"`
	Incarnation uint64 `json:"incarnation"`
	// Ready is set once a configuration and a host list are in force.
	Ready bool `json:"ready"`
	// Leaving is set while the process shuts down.
	Leaving bool `json:"leaving"`
	// Watching is set while the host watches the platform for new versions.
	Watching bool `json:"watching"`
	// PlatformAge is the time since any process that this one knows of last reached
	// the platform, in ms; -1 if none has.
	PlatformAge int64             `json:"platform-age-ms"`
	Versions    []Version         `json:"versions"`
	Rejected    []RejectedVersion `json:"refused"`
	Peers       []Peer            `json:"peers"`
}

// Version is the version in force of a key, which is config or hosts/ and a failure domain.
type Version struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Digest  uint64 `json:"digest"`
}

// RejectedVersion is a version that was rejected as invalid.
type RejectedVersion struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Reason  string `json:"why"`
}

// Peer is a process that this one has a link to, with the name host/program#link.
type Peer struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
}

// Leaf is a leaf as its aggregator sees it.
type Leaf struct {
	Leaf    string `json:"leaf"`
	Server  string `json:"server"`
	Service string `json:"service"`
	// Primary is set if this host is the first of the leaf's aggregators, Exclusive
	// if it holds the lease on the leaf's server or is the only candidate.
	Primary   bool `json:"primary"`
	Exclusive bool `json:"exclusive"`
	// Busy and Queued count the requests that the leaf runs and those that wait for
	// it. Limit is how many the aggregator sends to it at once, at most Slots.
	Busy   int `json:"busy"`
	Queued int `json:"queued"`
	Limit  int `json:"limit"`
	Slots  int `json:"slots"`
	Conns  int `json:"connections"`
	// RampLeft is the time until a warming leaf gets its full load, in ms.
	RampLeft int64 `json:"ramp-left-ms"`
	// Closed is why the leaf gets no requests; empty if it does.
	Closed string `json:"closed"`
}

// Service is the coverage that an entry could give a service's queries now.
type Service struct {
	Service  string `json:"service"`
	Snapshot string `json:"snapshot"`
	// Shards counts all shards, Reachable those that some leaf could serve.
	Shards    int       `json:"shards"`
	Reachable int       `json:"reachable"`
	Missing   []Missing `json:"missing"`
}

// Missing is a shard that an answer lacks or would lack.
type Missing struct {
	Shard  int    `json:"shard"`
	Reason string `json:"reason"`
}

// Strike is a request that is rejected because it crashed servers.
type Strike struct {
	// Fingerprint identifies the request, in 16 hexadecimal digits.
	Fingerprint string `json:"fingerprint"`
	// Count is the number of servers that it crashed.
	Count int `json:"count"`
	// TimeLeft is the time until the strike expires, in ms.
	TimeLeft int64 `json:"left-ms"`
}

// Query is the body of /v1/explain: an answered query with the decisions about it.
type Query struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Snapshot string `json:"snapshot"`
	// Took is the time from the query's arrival to its answer, in ms.
	Took     int64     `json:"took-ms"`
	Shards   int       `json:"shards"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
	// Calls counts all calls to leaves, Extra those beyond the first for each shard
	// and all that were made before the query was pinned to another snapshot.
	Calls int `json:"calls"`
	Extra int `json:"extra-attempts"`
	// Refused is why the query was rejected; empty if it was not.
	Refused string `json:"refused"`
	Steps   []Step `json:"steps"`
}

// Step is one decision about a query.
type Step struct {
	// At is the time since the query's arrival, in ms.
	At    int64  `json:"at-ms"`
	Event string `json:"event"`
	Shard int    `json:"shard"`
	Leaf  string `json:"leaf"`
	Host  string `json:"host"`
	Cause string `json:"cause"`
}

// MissingFrom converts the missing shards of a coverage; the result is never nil, so that
// its JSON is a list.
func MissingFrom(list []query.Missing) []Missing {
	out := make([]Missing, len(list))
	for i, m := range list {
		out[i] = Missing{Shard: m.Shard, Reason: string(m.Reason)}
	}
	return out
}

// StrikesFrom converts the strikes of a table; the result is never nil.
func StrikesFrom(list []deny.Strike) []Strike {
	out := make([]Strike, len(list))
	for i, s := range list {
		out[i] = Strike{Fingerprint: fmt.Sprintf("%016x", s.Fingerprint), Count: s.Count, TimeLeft: int64(s.TimeLeft)}
	}
	return out
}
