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

// owner is what the node tells its program; see node.Program.
type owner struct{ c *Core }

func (o owner) Configure(_ clock.Milli, cfg *topo.Config, hosts []topo.Host) {
	o.c.fan.Configure(cfg, hosts)
	if o.c.Configured != nil && cfg != nil {
		o.c.Configured(cfg)
	}
	for name, l := range o.c.aggs {
		if l != nil {
			o.c.fan.HostUp(name)
		}
	}
	for _, h := range hosts {
		o.c.fan.HostLeaving(h.Name, h.Leaving)
	}
}

func (o owner) LinkUp(now clock.Milli, l *mesh.Link) {
	c := o.c
	host := l.Peer.GetHost()
	switch l.Peer.GetProgram() {
	case node.Aggregator:
		if l.DialedAddr == "" {
			return
		}
		c.aggs[host] = l
		c.fan.HostUp(host)
	case node.Entry:
		c.entries[host] = l
		waiting := c.away[host]
		delete(c.away, host)
		for _, u := range waiting {
			c.forward(now, fanout.Forward{Host: host, Update: u})
		}
	}
}

func (o owner) LinkDown(now clock.Milli, l *mesh.Link, _ error) {
	c := o.c
	host := l.Peer.GetHost()
	if c.aggs[host] == l {
		delete(c.aggs, host)
		c.act(now, c.fan.HostDown(now, host))
	}
	if c.entries[host] == l {
		delete(c.entries, host)
		c.act(now, c.fan.OwnerDown(host))
	}
	for n, r := range c.remote {
		if r.link == l {
			delete(c.remote, n)
		}
	}
}

func (o owner) RTT(_ clock.Milli, l *mesh.Link, trip time.Duration) {
	if l.Peer.GetProgram() == node.Aggregator {
		o.c.fan.RecordRTT(l.Peer.GetHost(), float64(trip.Microseconds())/1000)
	}
}

func (o owner) PeerLeaving(_ clock.Milli, l *mesh.Link, leaving bool) {
	if l.Peer.GetProgram() == node.Aggregator {
		o.c.fan.HostLeaving(l.Peer.GetHost(), leaving)
	}
}

func (o owner) MergeStrike(now clock.Milli, s deny.Strike) bool { return o.c.fan.MergeStrike(now, s) }

func (o owner) VersionsConfirmed(clock.Milli) {}

// smallFleet is how many hosts an entry links to whole.
const smallFleet = 64

// Bounds of Dials in a larger fleet.
const (
	nearLinks = 8
	farLinks  = 8
)

func (o owner) LinkAddrs(cfg *topo.Config, hosts []topo.Host) []string {
	self := o.c.Settings.Host
	return assign.Neighbours(assign.Network{
		Self: self.Name, Domain: self.Domain, FullMeshMax: smallFleet, LocalLinks: nearLinks, RemoteLinks: farLinks,
	}, cfg, hosts)
}

func (o owner) Frame(now clock.Milli, l *mesh.Link, m *wire.Envelope) {
	c := o.c
	switch b := m.Body.(type) {
	case *wire.Envelope_Outcomes:
		for _, fb := range b.Outcomes.GetFeedback() {
			c.fan.SetFeedback(wire.FeedbackFrom(fb))
		}
		for _, w := range b.Outcomes.GetOutcomes() {
			c.act(now, c.fan.CallDone(now, wire.OutcomeFrom(w)))
		}
	case *wire.Envelope_UpdateReply:
		res := updateResultFrom(b.UpdateReply)
		if l.Peer.GetProgram() == node.Entry {
			c.act(now, c.fan.ForwardDone(b.UpdateReply.GetId(), res))
			return
		}
		c.act(now, c.fan.UpdateDone(now, b.UpdateReply.GetId(), res))
	case *wire.Envelope_Update:
		c.forwarded(now, l, b.Update)
	default:
		c.Meter.Count("bad_frames", 1)
		c.Log.Warn().Str("peer", l.Peer.GetHost()).Msg("unexpected message from peer")
	}
}
