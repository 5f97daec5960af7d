// Package plat implements a fake platform for tests and demos. It serves
// configuration values and host lists, counts reads, and can be unavailable,
// stale or slow. Tests control it through its methods or over HTTP.
package plat

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandelionstile/share/topo"
)

// Value is one version of a key.
type Value struct {
	Version uint64
	Body    []byte
}

// Mode selects the failures that the platform simulates.
type Mode struct {
	// Down fails every read.
	Down bool `json:"down"`
	// Stale returns the first version of each key.
	Stale bool `json:"stale"`
	// SlowMS delays every reply by this many milliseconds.
	SlowMS int `json:"slow-ms"`
}

// Platform is the fake platform. The zero value is ready to use.
type Platform struct {
	mu      sync.Mutex
	latest  map[string]Value
	first   map[string]Value
	mode    Mode
	blocked map[string]bool // source IPs whose reads fail
	reads   int
	changed chan struct{} // closed and replaced on each change
	server  *http.Server
	wg      sync.WaitGroup
}

// init makes the maps of a zero Platform. mu must be held.
func (p *Platform) init() {
	if p.latest == nil {
		p.latest = map[string]Value{}
		p.first = map[string]Value{}
		p.blocked = map[string]bool{}
		p.changed = make(chan struct{})
	}
}

// Put publishes a value.
func (p *Platform) Put(key string, v Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	if _, ok := p.first[key]; !ok {
		p.first[key] = v
	}
	p.latest[key] = v
	close(p.changed)
	p.changed = make(chan struct{})
}

// PutConfig publishes a configuration: its parts, then the manifest. The key of a part
// has its hash, so that a part has a single version.
func (p *Platform) PutConfig(version uint64, parts []topo.Part) {
	for _, part := range parts {
		p.Put("part/"+part.Hash(), Value{Version: 1, Body: part.Body})
	}
	p.Put("manifest", Value{Version: version, Body: topo.NewManifest(version, parts).Encode()})
}

// PutHosts publishes a failure domain's host list.
func (p *Platform) PutHosts(domain string, list topo.HostList) {
	p.Put("hosts/"+domain, Value{Version: list.Version, Body: list.Encode()})
}

// SetMode replaces the simulated failures, also for the watches that are waiting.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetBlocked makes the reads from a source IP that arrive from now on fail, or succeed
// again.
func (p *Platform) SetBlocked(ip string, blocked bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.blocked[ip] = blocked
}

// Reads returns the number of reads. A watch counts as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Start listens on an address and serves in the background. It returns the
// address.
func (p *Platform) Start(addr string) (string, error) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.handleRead)
	mux.HandleFunc("PUT /control/values/{key...}", p.handlePut)
	mux.HandleFunc("POST /control/mode", p.handleMode)
	mux.HandleFunc("GET /control/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.Itoa(p.Reads())+"\n")
	})
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	p.wg.Go(func() { _ = p.server.Serve(ln) }) // returns after Close
	return ln.Addr().String(), nil
}

// Close closes the server. Requests have 100 ms to end; then their connections are closed.
func (p *Platform) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		_ = p.server.Close() // closes pending watches
	}
	p.wg.Wait()
	return nil
}

// lookup returns the value of a key, which is the first one in mode Stale, whether it
// exists, the mode, and a channel that is closed on the next change.
func (p *Platform) lookup(key string) (Value, bool, Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.latest[key]
	if p.mode.Stale {
		v, ok = p.first[key]
	}
	return v, ok, p.mode, p.changed
}

// handleRead returns a value. With the parameter after, it waits up to wait-ms
// for a version other than that one, and replies 304 if there is none. It closes the
// connection of a blocked source.
func (p *Platform) handleRead(w http.ResponseWriter, r *http.Request) {
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	p.mu.Lock()
	p.reads++
	blocked := p.blocked[source]
	p.mu.Unlock()
	if blocked {
		panic(http.ErrAbortHandler)
	}
	key := r.PathValue("key")
	after, watching := uint64(0), r.URL.Query().Has("after")
	if watching {
		after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	}
	waitMS, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		v, ok, mode, changed := p.lookup(key)
		if mode.SlowMS > 0 {
			time.Sleep(time.Duration(mode.SlowMS) * time.Millisecond)
		}
		switch {
		case mode.Down:
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		case ok && (!watching || v.Version != after):
			w.Header().Set("Version", strconv.FormatUint(v.Version, 10))
			_, _ = w.Write(v.Body)
			return
		case !ok && !watching:
			http.Error(w, "no such key", http.StatusNotFound)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// handlePut publishes a value; its version is in the header Version.
func (p *Platform) handlePut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, topo.MaxPartBytes+1))
	if err != nil || len(body) > topo.MaxPartBytes {
		http.Error(w, "value exceeds 1 MiB", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.Header.Get("Version"), 10, 64)
	if err != nil {
		http.Error(w, "header Version is not a number", http.StatusBadRequest)
		return
	}
	p.Put(r.PathValue("key"), Value{Version: version, Body: body})
}

// handleMode replaces the simulated failures.
func (p *Platform) handleMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}
