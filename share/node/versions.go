package node

import (
	"dandelionstile/share/assign"
	"dandelionstile/share/clock"
	"dandelionstile/share/syncer"
	"dandelionstile/share/topo"
	"dandelionstile/share/wire"
)

// checkVersion returns an error if a version is invalid. The result depends on the set alone.
// The parsed configuration or host list is kept for adopt, which follows if it is valid.
func (n *Node) checkVersion(key string, s *syncer.Set) error {
	if key == KeyConfig {
		var err error
		n.checkedConfig, err = n.parser.Parse(s.Version, configParts(s))
		return err
	}
	var err error
	n.checkedHosts, err = ParseHostSet(s)
	return err
}

// perform carries out the actions of the syncer engine. The platform is read in another
// goroutine, which posts the result to the control loop.
func (n *Node) perform(now clock.Milli, actions []syncer.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case syncer.SendPull:
			n.sendTo(a.Peer, encodePull(a))
		case syncer.SendDelta:
			n.sendTo(a.Peer, encodeDelta(a.Delta))
		case syncer.SendStamps:
			n.sendTo(a.Peer, encodeStamps(a.Stamps))
		case syncer.ReadPlatform:
			n.reads.Go(func() {
				set, err := n.platform.read(a)
				n.Post(PlatformRead{syncer.ReadResult{Key: a.Key, Set: set, Err: err}})
			})
		case syncer.Reject:
			n.recordRejected(a)
			n.Log.Error().Err(a.Err).Str("key", a.Key).Uint64("version", a.Stamp.Version).
				Msg("rejected invalid version; keeping the previous one")
		case syncer.Adopt:
			n.adopt(now, a)
		}
	}
}

// sendTo queues a message for the peer of this name, if it has a link.
func (n *Node) sendTo(name string, m *wire.Envelope) {
	for _, p := range n.peers {
		if p.name == name {
			n.Send(p.link, m)
		}
	}
}

// adopt puts a version in force here and passes it to the delegate. While a
// ConfirmVersions is pending, it asks the peers again because their answers refer to the
// previous versions.
func (n *Node) adopt(now clock.Milli, a syncer.Adopt) {
	n.Log.Info().Str("key", a.Key).Uint64("version", a.Stamp.Version).Msg("version in force")
	if a.Key == KeyConfig {
		n.cfg = n.checkedConfig // parsed by the check just before
		n.engine.SetRequiredKeys(hostListKeys(n.cfg))
	} else {
		n.hostsByKey[a.Key] = n.checkedHosts // parsed by the check just before
		n.hosts = n.allHosts()
		n.engine.Rank = n.rank()
	}
	n.configure(now)
	if n.confirmSequence != 0 {
		for _, p := range n.sortedPeers() {
			n.sendHeartbeat(now, p, true /* wantAnswer */)
		}
	}
}

// hostListKeys lists the host lists that a configuration needs.
func hostListKeys(cfg *topo.Config) []string {
	keys := make([]string, len(cfg.Inventory.Domains))
	for i, d := range cfg.Inventory.Domains {
		keys[i] = KeyHostsPrefix + d.Name
	}
	return keys
}

// allHosts joins the host lists of all failure domains. Other keys have no hosts.
func (n *Node) allHosts() []topo.Host {
	var all []topo.Host
	for _, key := range n.engine.HeldKeys() {
		all = append(all, n.hostsByKey[key]...)
	}
	return all
}

// rank returns this host's rank among the hosts of its failure domain, whose aggregators
// may watch the platform in that order. It returns -1 for an entry, and for a host that is
// not in the host list. Every host computes the same order independently.
func (n *Node) rank() int {
	if n.Program != Aggregator {
		return -1
	}
	// Owners ranks hosts for a server; "watch" stands in for the server's name.
	for i, h := range assign.Owners(n.hosts, n.Settings.Host.Domain, "watch", len(n.hosts)) {
		if h.Name == n.Settings.Host.Name {
			return i
		}
	}
	return -1
}

// configure passes the versions in force to the delegate and updates the links. It does
// nothing until there are a configuration and a host list. A host whose aggregator
// announced that it leaves, on a link that is still up, counts as leaving even before the
// host list marks it.
func (n *Node) configure(now clock.Milli) {
	if n.cfg == nil || len(n.hosts) == 0 {
		return
	}
	leaving := map[string]bool{}
	for _, p := range n.peers {
		if p.leaving && p.link.Peer.GetProgram() == Aggregator {
			leaving[p.link.Peer.GetHost()] = true
		}
	}
	if n.leaving && n.Program == Aggregator {
		leaving[n.Settings.Host.Name] = true
	}
	hosts := append([]topo.Host(nil), n.hosts...)
	for i := range hosts {
		hosts[i].Leaving = hosts[i].Leaving || leaving[hosts[i].Name]
	}
	n.Delegate.Configure(now, n.cfg, hosts)
	n.updateLinks(hosts)
}

// updateLinks dials the addresses that the delegate now lists, except this process's own,
// and disconnects those that it no longer lists. Links to the peers of the settings stay.
func (n *Node) updateLinks(hosts []topo.Host) {
	want := map[string]bool{}
	for _, addr := range n.Delegate.LinkAddrs(n.cfg, hosts) {
		if addr != n.Settings.Listen.Links {
			want[addr] = true
		}
	}
	for addr := range want {
		if !n.dialedAddrs[addr] {
			n.mesh.Dial(addr)
		}
	}
	for addr := range n.dialedAddrs {
		if !want[addr] && !n.isConfiguredPeer(addr) {
			n.mesh.Disconnect(addr)
		}
	}
	for _, addr := range n.Settings.Peers {
		want[addr] = true
	}
	n.dialedAddrs = want
}

// isConfiguredPeer reports whether an address is one of the settings' peers.
func (n *Node) isConfiguredPeer(addr string) bool {
	for _, s := range n.Settings.Peers {
		if s == addr {
			return true
		}
	}
	return false
}
