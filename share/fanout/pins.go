package fanout

import (
	"slices"

	"dandelionstile/share/query"
	"dandelionstile/share/topo"
)

// usable reports whether a leaf may get new calls for a pin.
func (e *Engine) usable(f *leaf, pin topo.SnapshotID) bool {
	if f.outReason != query.ReasonNone || !f.hasFeedback || f.feedback.Closed || !slices.Contains(f.feedback.Holds, pin) {
		return false
	}
	return e.aggregatorFor(f, nil) != ""
}

// choosePin chooses the newest snapshot that has a usable replica of every shard,
// or else the one that covers the largest share of its shards. An answer uses a single
// snapshot. The choice is kept until the service is dirty; it reports false if no leaf
// is usable.
func (e *Engine) choosePin(s *service) (topo.SnapshotID, bool) {
	if !s.dirty {
		return s.pin, s.pinned
	}
	s.dirty = false
	covered := map[topo.SnapshotID]int{}
	for layout, shards := range s.shards {
		for _, replicas := range shards {
			seen := map[topo.SnapshotID]bool{}
			for _, f := range replicas {
				for _, p := range f.feedback.Holds {
					if p.Layout == layout && !seen[p] && e.usable(f, p) {
						seen[p] = true
						covered[p]++
					}
				}
			}
		}
	}
	s.pinned = false
	var best float64
	for p, n := range covered {
		share := float64(n) / float64(len(s.shards[p.Layout]))
		if !s.pinned || share > best || (share == best && s.pin.Less(p)) {
			s.pin, s.pinned, best = p, true, share
		}
	}
	return s.pin, s.pinned
}

// Pin returns the snapshot that a new query of a service would be pinned to. It reports
// false if the service is unknown or no leaf is usable.
func (e *Engine) Pin(name string) (topo.SnapshotID, bool) {
	s := e.services[name]
	if s == nil {
		return topo.SnapshotID{}, false
	}
	return e.choosePin(s)
}

// Coverage returns which shards of a service's current pin can be answered now. Without
// a pin, all shards of the service's last layout are missing. An unknown service has
// none.
func (e *Engine) Coverage(name string) query.Coverage {
	s := e.services[name]
	if s == nil {
		return query.Coverage{}
	}
	pin, ok := e.choosePin(s)
	if !ok {
		layout := s.Layouts[len(s.Layouts)-1]
		c := query.Coverage{Shards: layout.Shards}
		for i := range layout.Shards {
			c.Missing = append(c.Missing, query.Missing{Shard: i, Reason: query.ReasonNoReplica})
		}
		return c
	}
	c := query.Coverage{Shards: len(s.shards[pin.Layout])}
	for shard, replicas := range s.shards[pin.Layout] {
		if e.anyUsable(replicas, pin) {
			c.Answered++
			continue
		}
		c.Missing = append(c.Missing, query.Missing{Shard: shard, Reason: e.noReplicaReason(replicas)})
	}
	return c
}

// anyUsable reports whether one of the replicas may get new calls for a pin.
func (e *Engine) anyUsable(replicas []*leaf, pin topo.SnapshotID) bool {
	for _, f := range replicas {
		if e.usable(f, pin) {
			return true
		}
	}
	return false
}

// noReplicaReason returns why no replica of a shard can be called: unreachable if no
// aggregator of one that is in service is connected, else why replicas are out of
// service, else no-replica.
func (e *Engine) noReplicaReason(replicas []*leaf) query.Reason {
	reason := query.ReasonNoReplica
	for _, f := range replicas {
		switch {
		case f.outReason != query.ReasonNone:
			reason = f.outReason
		case e.aggregatorFor(f, nil) == "":
			return query.ReasonUnreachable
		}
	}
	return reason
}
