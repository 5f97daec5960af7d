package proxy

import (
	"maps"
	"slices"
	"time"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/report"
)

// queuedCrash is a crash report and how many more times to send it.
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

// queueCrashReports queues crash reports for other hosts.
func (p *peers) queueCrashReports(list []crash.Report) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.server.Clock.Now()
	for _, s := range list {
		if len(p.crashReports) < maxQueuedCrashes {
			p.crashReports = append(p.crashReports, queuedCrash{s, now - s.Age, crashReportSends})
		}
	}
	p.wakeUp()
}

const (
	// leafReportDelay is how long load reports are collected before they are sent:
	// several of a host's calls show the same within this time, and a leaf stalls for many
	// times as long.
	leafReportDelay = 15 * time.Millisecond
	// maxReportHosts is the maximum number of hosts that get a report at once.
	maxReportHosts = 24
	// maxLeavesPerPacket is the maximum number of leaves in a packet.
	maxLeavesPerPacket = 40
)

// queueLeafReports queues load reports for the hosts of the same failure domain.
func (p *peers) queueLeafReports(list []report.Leaf) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leafReports == nil {
		p.leafReports = map[string]report.Leaf{}
	}
	for _, n := range list {
		if len(p.leafReports) < maxLeavesPerPacket {
			p.leafReports[n.ID] = n
		}
	}
	if p.flush == nil {
		p.flush = time.AfterFunc(leafReportDelay, p.sendLeafReports)
	}
}

// sendLeafReports sends the queued load reports.
func (p *peers) sendLeafReports() {
	p.mu.Lock()
	list := slices.Collect(maps.Values(p.leafReports))
	p.leafReports, p.flush = nil, nil
	packets := p.list.DomainPackets(p.server.Clock.Now(), maxReportHosts)
	p.mu.Unlock()
	for i := range packets {
		packets[i].Leaves = list
	}
	p.send(packets)
}

// nextCrashReports returns the crash reports for one packet.
func (p *peers) nextCrashReports() []crash.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.server.Clock.Now()
	var list []crash.Report
	rest := p.crashReports[:0]
	for _, s := range p.crashReports {
		if len(list) < maxCrashesPerPacket {
			list = append(list, crash.Report{Fingerprint: s.Fingerprint, Leaf: s.Leaf, Age: now - s.at})
			s.sendsLeft--
		}
		if s.sendsLeft > 0 {
			rest = append(rest, s)
		}
	}
	p.crashReports = rest
	return list
}
