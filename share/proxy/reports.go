package proxy

import (
	"maps"
	"slices"
	"time"

	"dandelionstile/share/clock"
	"dandelionstile/share/crash"
	"dandelionstile/share/report"
)

// toldCrash is a crash and how often it is still to be passed on.
type toldCrash struct {
	crash.Report
	at    clock.Milli
	times int
}

const (
	// crashTimes is how many packets pass a crash on. Whoever hears of it
	// does the same, so that it reaches all hosts within a few rounds.
	crashTimes = 6
	// crashesAtOnce is how many crashes one packet holds at most.
	crashesAtOnce = 24
	// mostWaiting bounds the crashes that wait to be passed on.
	mostWaiting = 256
)

// tellCrashes passes crashes on to other hosts.
func (p *peers) tellCrashes(list []crash.Report) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tier.Clock.Now()
	for _, s := range list {
		if len(p.crashes) < mostWaiting {
			p.crashes = append(p.crashes, toldCrash{s, now - s.Age, crashTimes})
		}
	}
	p.wakeUp()
}

const (
	// newsPause is how long news of leafs is gathered: a few of a host's calls
	// show the same within this time, and a leaf's pause lasts many times as long.
	newsPause = 15 * time.Millisecond
	// newsHosts bounds the hosts that are told at once.
	newsHosts = 24
	// newsAtOnce bounds the leafs that one packet tells of.
	newsAtOnce = 40
)

// tellLeafs passes news of leafs on to the hosts of the own failure domain.
func (p *peers) tellLeafs(list []report.Leaf) {
	if p.conn == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leafs == nil {
		p.leafs = map[string]report.Leaf{}
	}
	for _, n := range list {
		if len(p.leafs) < newsAtOnce {
			p.leafs[n.ID] = n
		}
	}
	if p.flush == nil {
		p.flush = time.AfterFunc(newsPause, p.sendLeafs)
	}
}

// sendLeafs sends the news that has been gathered.
func (p *peers) sendLeafs() {
	p.mu.Lock()
	list := slices.Collect(maps.Values(p.leafs))
	p.leafs, p.flush = nil, nil
	packets := p.list.DomainPackets(p.tier.Clock.Now(), newsHosts)
	p.mu.Unlock()
	for i := range packets {
		packets[i].Leaves = list
	}
	p.send(packets)
}

// takeCrashes are the crashes for one packet.
func (p *peers) takeCrashes() []crash.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.tier.Clock.Now()
	var list []crash.Report
	rest := p.crashes[:0]
	for _, s := range p.crashes {
		if len(list) < crashesAtOnce {
			list = append(list, crash.Report{Fingerprint: s.Fingerprint, Leaf: s.Leaf, Age: now - s.at})
			s.times--
		}
		if s.times > 0 {
			rest = append(rest, s)
		}
	}
	p.crashes = rest
	return list
}
