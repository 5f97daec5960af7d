package main

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"time"
)

// callerHeader: a client sends a header that the hosts use between themselves.
func callerHeader(folder string) (int, error) {
	w, err := newWorld(folder, threeZones)
	if err != nil {
		return 2, err
	}
	defer w.close()
	var shards []string
	var services []map[string]any
	for i := range 20 {
		name := fmt.Sprintf("shard-%02d", i)
		shards = append(shards, name)
		services = append(services, service(name, 0))
		for j, zone := range []string{"z1", "z2"} {
			if err := w.addLeaf(&leaf{id: fmt.Sprintf("i-%s-%d", name, j), service: name, zone: zone, slots: 3, work: 20 * time.Millisecond}); err != nil {
				return 2, err
			}
		}
	}
	if err := w.putConfig(1, []route{shardedRoute("browse", shards, 200, 2000, 20, 0.89)}, services...); err != nil {
		return 2, err
	}
	if err := w.startHosts("z1", "z2", "z3"); err != nil {
		return 2, err
	}
	var header []string
	if w.trouble {
		header = []string{"Relay-Target-Ms", "150"}
	}
	w.load(20, time.Now().Add(6*time.Second), func(i int) { w.send(i%3, "GET", fmt.Sprintf("/browse/%d", i), "", 2*time.Second, header...) })
	wrong, served := 0, 0
	for _, s := range w.sent {
		if s.status != 200 {
			continue
		}
		served++
		if why := w.mergeFault(s, shards, 20); why != "" {
			w.record("wrong answer for %s: %s", s.id, why)
			wrong++
		}
	}
	if served < len(w.sent)*8/10 {
		return 2, fmt.Errorf("only %d of %d served", served, len(w.sent))
	}
	return w.verdict(wrong > 0, "MIXED: %d of %d successes named parts that are no signatures", wrong, served), nil
}

// mergeFault returns what is wrong with a merged success, or "".
func (w *world) mergeFault(s sending, shards []string, top int) string {
	var named []string
	var records [][]byte
	for _, line := range s.header.Values("X-Part-Stamps") {
		for _, text := range strings.Split(line, ",") {
			parts := strings.SplitN(strings.TrimSpace(text), ".", 3)
			if len(parts) != 3 || parts[2] != s.id || !slices.Contains(shards, parts[1]) || slices.Contains(named, parts[1]) {
				return fmt.Sprintf("entry %q of X-Part-Stamps is no signature for it", text)
			}
			named = append(named, parts[1])
			records = append(records, recordsOf(parts[1], s.id)...)
		}
	}
	missing := 0
	if text := s.header.Get("X-Missing-Parts"); text != "" {
		_, _ = fmt.Sscan(text, &missing)
	}
	if len(named)+missing != len(shards) {
		return fmt.Sprintf("%d parts and %d missing of %d", len(named), missing, len(shards))
	}
	if !bytes.Equal(greatestOf(records, top), s.body) {
		return "another body"
	}
	return ""
}
