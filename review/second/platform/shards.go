package main

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"sort"
	"strings"
)

// shardedRoute is a route over shards.
func shardedRoute(name string, shards []string, targetMS, timeoutMS, top int, share float64) route {
	r := simpleRoute(name, "safe", "", targetMS, timeoutMS)
	delete(r, "service")
	r["fanout_services"], r["top_k"], r["min_success_share"] = shards, top, share
	return r
}

// recordsOf returns the records of a part, as leaf.answer has them.
func recordsOf(service, request string) (records [][]byte) {
	for i := range recordsPerPart {
		sum := sha256.Sum256([]byte(fmt.Sprint(service, request, i)))
		records = append(records, sum[:16])
	}
	return records
}

// greatestOf returns the body of an answer with the greatest of the records.
func greatestOf(records [][]byte, top int) []byte {
	sort.Slice(records, func(a, b int) bool { return bytes.Compare(records[a], records[b]) > 0 })
	return bytes.Join(records[:min(top, len(records))], nil)
}

// greatest reports whether a merged success has the greatest records of the parts that it names,
// as many as one of the numbers says.
func (w *world) greatest(s sending, tops []int) bool {
	var records [][]byte
	for _, text := range strings.Split(strings.Join(s.header.Values("X-Part-Stamps"), ","), ",") {
		name := strings.Split(strings.TrimSpace(text), ".")[1]
		records = append(records, recordsOf(name, s.id)...)
	}
	for _, top := range tops {
		if bytes.Equal(greatestOf(records, top), s.body) {
			return true
		}
	}
	return false
}
