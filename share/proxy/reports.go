package proxy

import (
	"maps"
	"slices"
	"time"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/member"
	"dandelionstile/share/report"
	"dandelionstile/share/router"
)

// queuedCrash is a crash report, the time of what it reports and how many more times to send
// it.
type queuedCrash struct {
	crash.Report
	at        clock.Milli
	sendsLeft int
}

const (
	// crashReportSends is the number of packets that carry a crash report. Every host
	// that receives it does the same, so it reaches all hosts within a few rounds.
	crashReportSends = 6
	// maxCrashesPerPacket is the maximum number of crash reports in a packet.
	maxCrashesPerPacket = 24
	// maxQueuedCrashes is the maximum number of crash reports that wait to be sent.
	maxQueuedCrashes = 256
)

// queueCrashReports queues crash reports for other hosts and starts a round. A full packet of an
// answer is not queued: the host that sent it may have more, and is asked again. Reports beyond
// maxQueuedCrashes are dropped, and all on a host that works alone.
func (p *peers) queueCrashReports(s router.SendCrashReports) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.server.Clock.Now()
	if s.From != "" && len(s.List) == maxCrashesPerPacket {
		// Most other hosts have these reports; only this one lacks many.
		p.list.SyncAgain(now, s.From)
		p.wakeUp()
		return
	}
	for _, r := range s.List {
		if r.Answered {
			p.crashReports = slices.DeleteFunc(p.crashReports, func(q queuedCrash) bool { return q.Fingerprint == r.Fingerprint })
		}
		if len(p.crashReports) < maxQueuedCrashes {
			p.crashReports = append(p.crashReports, queuedCrash{r, now - r.Age, crashReportSends})
		}
	}
	p.wakeUp()
}

// maxCrashesPerAnswer is the maximum number of crash reports in the answer to a comparison.
const maxCrashesPerAnswer = 16 * maxCrashesPerPacket

// setCrashDigest replaces the digest of this host's crash reports.
func (p *peers) setCrashDigest(digest crash.Digest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.crashDigest = digest
}

// digest returns the digest of this host's crash reports.
func (p *peers) digest() crash.Digest {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.crashDigest
}

// addCrashDigest adds the digest of this host's crash reports to an Ack, folded, or a Sync.
func addCrashDigest(packet *member.Packet, digest crash.Digest) {
	switch packet.Kind {
	case member.Ack:
		packet.CrashDigest = digest.Fold(1)
	case member.Sync:
		packet.CrashDigest = digest.Short()
	}
}

// compareCrashes compares the digest in a packet with that of this host. If an Ack differs, the
// next Sync goes to its sender; if a Sync differs, it returns the event that answers it, and true.
// The caller holds mu.
func (p *peers) compareCrashes(now clock.Milli, packet member.Packet) (router.CrashSync, bool) {
	if !p.crashDigest.Differs(packet.CrashDigest) {
		return router.CrashSync{}, false
	}
	from := packet.Sender.Host.GossipAddress
	switch packet.Kind {
	case member.Ack:
		p.list.SyncWith(now, from)
	case member.Sync:
		limit := maxCrashesPerAnswer
		if !p.list.MayAnswerInFull() {
			limit = maxCrashesPerPacket
		}
		return router.CrashSync{From: from, Digest: packet.CrashDigest, Limit: limit}, true
	}
	return router.CrashSync{}, false
}

// answerCrashSync sends the answer to a comparison.
func (p *peers) answerCrashSync(a router.AnswerCrashSync) {
	chunks := slices.Collect(slices.Chunk(a.List, maxCrashesPerPacket))
	p.mu.Lock()
	packets := p.list.AnswerPackets(p.server.Clock.Now(), a.To, len(chunks))
	p.mu.Unlock()
	for i, chunk := range chunks {
		packets[i].Crashes = chunk
	}
	p.send(packets)
}

const (
	// leafReportDelay is how long load reports are collected before they are sent.
	// When a leaf stalls, several calls of a host show it within this time, and the
	// stall lasts many times as long.
	leafReportDelay = 15 * time.Millisecond
	// maxReportHosts is the maximum number of hosts that get a report at once.
	maxReportHosts = 24
	// maxLeavesPerPacket is the maximum number of leaves in a packet.
	maxLeavesPerPacket = 40
)

// queueLeafReports queues load reports for the hosts of the same failure domain, the latest
// for each leaf, and has them sent after leafReportDelay. It drops reports while
// maxLeavesPerPacket leaves are queued, and all on a host that works alone.
func (p *peers) queueLeafReports(list []report.Leaf) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leafReports == nil {
		p.leafReports = map[string]report.Leaf{}
	}
	for _, r := range list {
		if len(p.leafReports) < maxLeavesPerPacket {
			p.leafReports[r.ID] = r
		}
	}
	if p.flushTimer == nil {
		p.flushTimer = time.AfterFunc(leafReportDelay, p.sendLeafReports)
	}
}

// sendLeafReports sends the queued load reports to hosts of the same failure domain.
func (p *peers) sendLeafReports() {
	p.mu.Lock()
	list := slices.Collect(maps.Values(p.leafReports))
	p.leafReports, p.flushTimer = nil, nil
	packets := p.list.DomainPackets(p.server.Clock.Now(), maxReportHosts)
	p.mu.Unlock()
	for i := range packets {
		packets[i].Leaves = list
	}
	p.send(packets)
}

// takeCrashReports returns the crash reports for one packet. It removes those that have
// been in crashReportSends packets.
func (p *peers) takeCrashReports() []crash.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.server.Clock.Now()
	var list []crash.Report
	rest := p.crashReports[:0]
	for _, r := range p.crashReports {
		if len(list) < maxCrashesPerPacket {
			r.Age = now - r.at
			list = append(list, r.Report)
			r.sendsLeft--
		}
		if r.sendsLeft > 0 {
			rest = append(rest, r)
		}
	}
	p.crashReports = rest
	return list
}
