package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// leaf is a stand-in for a server of the users, as PROTOCOL tells it.
type leaf struct {
	id, service, zone string
	slots             int
	work              time.Duration
	// warmup is for how long the leaf is cold after its start; 0 for not at all.
	warmup time.Duration
	// workOf returns the time that a request takes; nil takes work.
	workOf func(r *http.Request) time.Duration
	// crashes reports whether a request crashes the leaf that begins to run it.
	crashes func(r *http.Request) bool
	// backAfter is how long after a crash the leaf starts again.
	backAfter time.Duration
	// nextID returns the id of the next incarnation; nil keeps the id.
	nextID func() string

	world *world

	mu       sync.Mutex
	address  string
	up       bool
	state    string
	born     time.Time
	sequence int
	conns    map[net.Conn]bool
	slot     chan struct{}
	queued   int
	server   *http.Server
	cold     bool // was started again during traffic
}

const (
	heartbeat  = 1200 * time.Millisecond
	maxQueued  = 18
	stateReady = "ready"
	// recordsPerPart is the number of records in a leaf's answer.
	recordsPerPart = 5
)

// start listens and registers the leaf.
func (l *leaf) start(cold bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	address := l.address
	if address == "" {
		address = l.world.ip(200) + ":0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	l.address, l.up, l.state, l.born, l.sequence, l.cold = ln.Addr().String(), true, stateReady, time.Now(), 0, cold
	l.conns, l.slot, l.queued = map[net.Conn]bool{}, make(chan struct{}, l.slots), 0
	l.server = &http.Server{Handler: http.HandlerFunc(l.serve), ConnState: l.track}
	server := l.server
	go func() { _ = server.Serve(ln) }() // ends when the server is closed
	l.world.record("leaf %s of %s starts at %s, cold %v", l.id, l.service, l.address, cold)
	go l.beat(l.born)
	return nil
}

func (l *leaf) track(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, c)
	}
}

// warmupLeft returns how much longer the leaf is cold.
func (l *leaf) warmupLeft() time.Duration {
	if !l.cold {
		return 0
	}
	return max(0, l.warmup-time.Since(l.born))
}

// beat writes the leaf's entry at its start and every heartbeat, until it ends.
func (l *leaf) beat(born time.Time) {
	pause := rand.N(heartbeat) // the leaves of a deployment don't beat in step
	for ; ; pause = heartbeat {
		l.mu.Lock()
		if !l.up || l.born != born {
			l.mu.Unlock()
			return
		}
		l.sequence++
		key, entry := "servers/"+l.id, l.entry()
		l.mu.Unlock()
		l.world.store.put(key, entry, 3*heartbeat)
		time.Sleep(pause)
	}
}

// entry returns the leaf's entry. The lock must be held.
func (l *leaf) entry() []byte {
	body, err := json.Marshal(map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": l.slots, "state": l.state,
		"warmup_left_ms": l.warmupLeft().Milliseconds(), "sequence": l.sequence, "born": l.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // the values are plain
	}
	return body
}

// crash ends the leaf as a killed process ends: its listener is gone and its connections are reset.
func (l *leaf) crash() {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return
	}
	l.up = false
	server := l.server
	for c := range l.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	l.mu.Unlock()
	_ = server.Close()
	l.world.record("leaf %s crashes", l.id)
}

// crashAndReturn crashes the leaf and starts it again after backAfter, cold.
func (l *leaf) crashAndReturn() {
	l.crash()
	time.Sleep(l.backAfter)
	if l.nextID != nil {
		l.mu.Lock()
		l.id = l.nextID()
		l.mu.Unlock()
	}
	for l.world.running() {
		if l.start(true) == nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func (l *leaf) serve(w http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	id, left, state, slot := l.id, l.warmupLeft(), l.state, l.slot
	l.mu.Unlock()
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", id)
		if left > 0 {
			w.Header().Set("X-Warmup-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		if state != stateReady {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		l.world.health(l, left)
		return
	}
	request := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != id {
		w.Header().Set("X-Instance-Id", id)
		w.Header().Set("X-Request-Id", request)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	l.world.arrived(l, r, left)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("X-Request-Id", request)
	deadline, err := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	if err != nil {
		deadline = 60000
	}
	end := time.Now().Add(time.Duration(deadline) * time.Millisecond)
	if !l.take(r, slot, end) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-slot }()
	l.world.ran(l, r, body)
	if l.crashes != nil && l.crashes(r) {
		go l.crashAndReturn()
		<-r.Context().Done()
		return
	}
	work := l.work
	if l.workOf != nil {
		work = l.workOf(r)
	}
	status := http.StatusOK
	select {
	case <-time.After(work):
	case <-time.After(time.Until(end)):
		status = http.StatusGatewayTimeout
	case <-r.Context().Done():
		return // its connection is closed
	}
	answer := l.answer(request)
	w.Header().Set("X-Server-Stamp", stamp(id, l.service, request))
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	w.WriteHeader(status)
	_, _ = w.Write(answer) // the caller may have gone
}

// take waits for a slot, and reports false if the queue is full or the deadline passes.
func (l *leaf) take(r *http.Request, slot chan struct{}, end time.Time) bool {
	select {
	case slot <- struct{}{}:
		return true
	default:
	}
	l.mu.Lock()
	full := l.queued >= maxQueued
	if !full {
		l.queued++
	}
	l.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		l.mu.Lock()
		l.queued--
		l.mu.Unlock()
	}()
	select {
	case slot <- struct{}{}:
		return true
	case <-time.After(time.Until(end)):
	case <-r.Context().Done():
	}
	return false
}

// answer returns the records of a service for a request.
func (l *leaf) answer(request string) []byte {
	return bytes.Join(recordsOf(l.service, request), nil)
}

// stamp returns the signature of a leaf on its answer to a request.
func stamp(id, service, request string) string { return id + "." + service + "." + request }
