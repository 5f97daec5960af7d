// Package plat stands in for the platform: it serves configuration values and
// host lists, counts each read, and can be down, stale or slow. Tests drive it
// over HTTP or by its methods.
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

// Mode is how the platform misbehaves.
type Mode struct {
	// Down answers every read with an error.
	Down bool `json:"down"`
	// Stale answers with the first version that a key ever had.
	Stale bool `json:"stale"`
	// SlowMS delays every answer.
	SlowMS int `json:"slow-ms"`
}

// Platform is the stand-in. The zero value is ready to use.
type Platform struct {
	mu      sync.Mutex
	now     map[string]Value
	first   map[string]Value
	mode    Mode
	cut     map[string]bool // source addresses that are cut off
	reads   int
	changed chan struct{}
	server  *http.Server
	wait    sync.WaitGroup
}

func (p *Platform) init() {
	if p.now == nil {
		p.now = map[string]Value{}
		p.first = map[string]Value{}
		p.cut = map[string]bool{}
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
	p.now[key] = v
	close(p.changed)
	p.changed = make(chan struct{})
}

// PutConfig publishes a configuration: its parts, then the manifest.
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

// SetMode changes how the platform misbehaves.
func (p *Platform) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.mode = m
	close(p.changed)
	p.changed = make(chan struct{})
}

// Cut cuts off readers that connect from an address, or lets them in again.
func (p *Platform) Cut(ip string, cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.init()
	p.cut[ip] = cut
}

// Reads is how many reads were made, a watch counted as one.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Start serves on an address.
func (p *Platform) Start(addr string) (string, error) {
	p.mu.Lock()
	p.init()
	p.mu.Unlock()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{key...}", p.read)
	mux.HandleFunc("PUT /control/values/{key...}", p.controlPut)
	mux.HandleFunc("POST /control/mode", p.controlMode)
	mux.HandleFunc("GET /control/reads", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strconv.Itoa(p.Reads())+"\n")
	})
	p.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	p.wait.Go(func() { _ = p.server.Serve(ln) }) // ends with Close
	return ln.Addr().String(), nil
}

// Close stops serving and waits.
func (p *Platform) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := p.server.Shutdown(ctx); err != nil {
		_ = p.server.Close() // watches that still wait are cut
	}
	p.wait.Wait()
	return nil
}

func (p *Platform) state(key string) (Value, bool, Mode, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.now[key]
	if p.mode.Stale {
		v, ok = p.first[key]
	}
	return v, ok, p.mode, p.changed
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	source, _, _ := net.SplitHostPort(r.RemoteAddr)
	p.mu.Lock()
	p.reads++
	cut := p.cut[source]
	p.mu.Unlock()
	if cut {
		panic(http.ErrAbortHandler)
	}
	key := r.PathValue("key")
	after, watching := uint64(0), r.URL.Query().Has("after")
	if watching {
		after, _ = strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	}
	span, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	end := time.After(time.Duration(span) * time.Millisecond)
	for {
		v, ok, mode, changed := p.state(key)
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
		case <-end:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) controlPut(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, topo.MaxPartBytes+1))
	if err != nil || len(body) > topo.MaxPartBytes {
		http.Error(w, "value over a megabyte", http.StatusRequestEntityTooLarge)
		return
	}
	version, err := strconv.ParseUint(r.Header.Get("Version"), 10, 64)
	if err != nil {
		http.Error(w, "header Version is not a number", http.StatusBadRequest)
		return
	}
	p.Put(r.PathValue("key"), Value{Version: version, Body: body})
}

func (p *Platform) controlMode(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetMode(m)
}
