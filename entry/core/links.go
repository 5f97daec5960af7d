package core

import (
	"time"

	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/deny"
	"dandelionstile/share/fanout"
	"dandelionstile/share/mesh"
	"dandelionstile/share/node"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// delegate implements node.Delegate.
type delegate struct{ c *Core }

// Configure applies a configuration and a host list, passes the configuration on to
// OnConfigure, and gives the engine the state of the hosts.
func (d delegate) Configure(_ clock.Milli, cfg *topo.Config, hosts []topo.Host) {
	d.c.fanout.Configure(cfg, hosts)
	if d.c.OnConfigure != nil && cfg != nil {
		d.c.OnConfigure(cfg)
	}
	for name, l := range d.c.aggregators {
		if l != nil {
			d.c.fanout.HostUp(name)
		}
	}
	for _, h := range hosts {
		d.c.fanout.HostLeaving(h.Name, h.Leaving)
	}
}

// LinkUp registers a link. Calls are sent only over links that this entry has dialed.
// Updates that wait for a link to another entry are forwarded.
func (d delegate) LinkUp(now clock.Milli, l *mesh.Link) {
	c := d.c
	host := l.Peer.GetHost()
	switch l.Peer.GetProgram() {
	case node.Aggregator:
		if l.DialedAddr == "" {
			return
		}
		c.aggregators[host] = l
		c.fanout.HostUp(host)
	case node.Entry:
		c.entries[host] = l
		updates := c.pendingForwards[host]
		delete(c.pendingForwards, host)
		for _, u := range updates {
			c.forward(now, fanout.Forward{Host: host, Update: u})
		}
	}
}

// LinkDown removes a link. If it is the one in use for its host, the calls and updates
// sent to that host end as unknown. Updates received over the link get no reply any more.
func (d delegate) LinkDown(now clock.Milli, l *mesh.Link, _ error) {
	c := d.c
	host := l.Peer.GetHost()
	if c.aggregators[host] == l {
		delete(c.aggregators, host)
		c.execute(now, c.fanout.HostDown(now, host))
	}
	if c.entries[host] == l {
		delete(c.entries, host)
		c.execute(now, c.fanout.OwnerDown(host))
	}
	for id, update := range c.forwarded {
		if update.link == l {
			delete(c.forwarded, id)
		}
	}
}

// RTT records the round-trip time to an aggregator, in milliseconds.
func (d delegate) RTT(_ clock.Milli, l *mesh.Link, rtt time.Duration) {
	if l.Peer.GetProgram() == node.Aggregator {
		d.c.fanout.RecordRTT(l.Peer.GetHost(), float64(rtt.Microseconds())/1000)
	}
}

// PeerLeaving records whether an aggregator is shutting down.
func (d delegate) PeerLeaving(_ clock.Milli, l *mesh.Link, leaving bool) {
	if l.Peer.GetProgram() == node.Aggregator {
		d.c.fanout.HostLeaving(l.Peer.GetHost(), leaving)
	}
}

// MergeStrike merges a strike from a peer and reports whether it was new.
func (d delegate) MergeStrike(now clock.Milli, s deny.Strike) bool {
	return d.c.fanout.MergeStrike(now, s)
}

// Strikes lists the strikes of requests that are rejected now.
func (d delegate) Strikes(now clock.Milli) []deny.Strike { return d.c.fanout.Strikes(now) }

// VersionsConfirmed does nothing: only aggregators suspend admission.
func (d delegate) VersionsConfirmed(clock.Milli) {}

// fullMeshMaxHosts is the largest fleet in which an entry links to all hosts.
const fullMeshMaxHosts = 64

// Numbers of links in a larger fleet: to aggregators in this host's failure domain, and in
// others.
const (
	localLinks  = 8
	remoteLinks = 8
)

// LinkAddrs lists the aggregators to link to: all in a small fleet, some in a large one.
func (d delegate) LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string {
	self := d.c.Settings.Host
	return assign.Neighbors(assign.Network{
		Self: self.Name, Domain: self.Domain, FullMeshMaxHosts: fullMeshMaxHosts, LocalLinks: localLinks, RemoteLinks: remoteLinks,
	}, cfg, hosts)
}

// Frame handles outcomes and leaf states from aggregators, results of updates, and updates
// that other entries forward.
func (d delegate) Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	c := d.c
	switch b := m.Body.(type) {
	case *wire.Envelope_Outcomes:
		for _, fb := range b.Outcomes.GetFeedback() {
			c.fanout.SetFeedback(wire.DecodeFeedback(fb))
		}
		for _, w := range b.Outcomes.GetOutcomes() {
			c.execute(now, c.fanout.CallDone(now, wire.DecodeOutcome(w)))
		}
	case *wire.Envelope_UpdateReply:
		res := decodeUpdateReply(b.UpdateReply)
		if l.Peer.GetProgram() == node.Entry {
			c.execute(now, c.fanout.ForwardDone(b.UpdateReply.GetId(), res))
			return
		}
		c.execute(now, c.fanout.UpdateDone(now, b.UpdateReply.GetId(), res))
	case *wire.Envelope_Update:
		c.handleForwarded(now, l, b.Update)
	default:
		c.Meter.Count("bad_frames", 1)
		c.Log.Warn().Str("peer", l.Peer.GetHost()).Msg("unexpected message from peer")
	}
}
