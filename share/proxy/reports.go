package proxy

import (
	"maps"
	"slices"
	"time"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/report"
)

// queuedCrash is a crash report, the time of the crash and how many more times to send it.
type queuedCrash struct {
	crash.Report
	crashedAt clock.Milli
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

// queueCrashReports queues crash reports for other hosts and starts a round. It drops those
// beyond maxQueuedCrashes, and all on a host that works alone.
func (p *peers) queueCrashReports(list []crash.Report) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.server.Clock.Now()
	for _, r := range list {
		if len(p.crashReports) < maxQueuedCrashes {
			p.crashReports = append(p.crashReports, queuedCrash{r, now - r.Age, crashReportSends})
		}
	}
	p.wakeUp()
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
			list = append(list, crash.Report{Fingerprint: r.Fingerprint, Leaf: r.Leaf, Age: now - r.crashedAt})
			r.sendsLeft--
		}
		if r.sendsLeft > 0 {
			rest = append(rest, r)
		}
	}
	p.crashReports = rest
	return list
}
