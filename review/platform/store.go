package main

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyTime  = 20 * time.Second // history_s of the settings
	answerTime   = 4 * time.Millisecond
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// item is a key of the store as it is sent.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Tombstone bool   `json:"tombstone,omitempty"`
	at        time.Time
}

// store is the platform's store: PROTOCOL.md, "The platform's metadata store".
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	dropped  int64 // changes up to this revision have left the history
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes a key and returns when the write was acknowledged.
func (s *store) put(key string, value []byte) time.Time {
	return s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// remove deletes a key and returns when that was acknowledged.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Tombstone: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.at = s.revision, time.Now()
	if i.Tombstone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Revision
		s.history = s.history[1:]
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

// ServeHTTP answers /kv-range and /kv-watch.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	query := r.URL.Query()
	switch r.URL.Path {
	case "/kv-range":
		s.list(w, query)
	case "/kv-watch":
		s.watch(w, r, query)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) list(w http.ResponseWriter, query url.Values) {
	s.mu.Lock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	n, bytes := 0, 0
	for n < len(found) && n < maxPageItems && (n == 0 || bytes+len(found[n].Value) <= maxPageBytes) {
		bytes += len(found[n].Value)
		n++
	}
	writeJSON(w, map[string]any{"items": found[:n], "has_more": n < len(found), "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, query url.Values) {
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for late := false; ; {
		s.mu.Lock()
		for len(s.history) > 0 && time.Since(s.history[0].at) > historyTime {
			s.dropped = s.history[0].Revision
			s.history = s.history[1:]
		}
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("prefix")) {
				events = append(events, i)
			}
		}
		gone, revision, changed := after < s.dropped, s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || late {
			writeJSON(w, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			late = true
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	body, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
