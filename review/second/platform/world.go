package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the small deployment, as the site files have them.
const (
	contact     = 4 * time.Second // contact_ms
	drain       = 3 * time.Second // drain_ms
	configApply = 3 * time.Second // config_apply_ms
	overage     = 1.5             // warmup_overage
	warmupSlack = 5               // warmup_slack
	domain      = "search.example"
)

// world is one deployment: a store, leaves, hosts and clients, all on loopback addresses.
type world struct {
	trouble bool
	began   time.Time
	root    string // of the repository
	dir     string // temporary
	net     [2]int // second and third byte of the loopback addresses
	store   *store
	hosts   []*host
	leaves  []*leaf
	zones   map[string]string // regions by zone

	over    atomic.Bool
	nextID  atomic.Int64
	mu      sync.Mutex
	out     *bufio.Writer
	file    *os.File
	arrival []event
	runs    []event
	probes  []event
	sent    []sending
}

// event is an arrival, a run or a health check at a leaf.
type event struct {
	at      time.Time
	leaf    string
	service string
	request string
	path    string
	body    string
	left    time.Duration // of the leaf's warm-up
}

// sending is a request of a client and how it ended.
type sending struct {
	at, ended time.Time
	id, path  string
	host      int
	status    int // 0: no answer
	stamp     string
	header    http.Header
	body      []byte
	err       error
}

// host is one process of the project.
type host struct {
	name, ip, zone string
	world          *world
	settings       string
	cmd            *exec.Cmd
	started        time.Time
	ended          chan struct{}
}

// newWorld starts a store. The caller calls close.
func newWorld(folder string, zones map[string]string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target/dandelionstile")); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), root: root, dir: dir, zones: zones, file: file, out: bufio.NewWriter(file)}
	if err := w.chooseNet(); err != nil {
		return nil, err
	}
	w.store, err = startStore(w.ip(250))
	return w, err
}

// chooseNet chooses a loopback network on which the fixed ports of the hosts are free.
func (w *world) chooseNet() error {
	for range 50 {
		w.net = [2]int{60 + rand.IntN(60), 1 + rand.IntN(250)}
		free := true
		for i := 1; i <= 12 && free; i++ {
			for _, port := range []string{"8104", "8106", "8108", "7380", "7381", "9102"} {
				ln, err := net.Listen("tcp", w.ip(i)+":"+port)
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free loopback network")
}

func (w *world) ip(i int) string { return fmt.Sprintf("127.%d.%d.%d", w.net[0], w.net[1], i) }

func (w *world) running() bool { return !w.over.Load() }

// record writes a line to record.txt.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.out, "%9.3f ", time.Since(w.began).Seconds())
	_, _ = fmt.Fprintf(w.out, format+"\n", args...)
}

// close ends all processes that were started.
func (w *world) close() {
	w.over.Store(true)
	for _, h := range w.hosts {
		h.kill()
	}
	for _, l := range w.leaves {
		l.crash()
	}
	w.mu.Lock()
	_ = w.out.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	_ = os.RemoveAll(w.dir)
}

func (w *world) arrived(l *leaf, r *http.Request, left time.Duration) {
	e := event{at: time.Now(), leaf: l.id, service: l.service, request: r.Header.Get("X-Request-Id"), path: r.URL.Path, left: left}
	w.record("request %s (%s %s) reaches leaf %s of %s", e.request, r.Method, e.path, e.leaf, e.service)
	w.mu.Lock()
	w.arrival = append(w.arrival, e)
	w.mu.Unlock()
}

func (w *world) ran(l *leaf, r *http.Request, body []byte) {
	e := event{at: time.Now(), leaf: l.id, service: l.service, request: r.Header.Get("X-Request-Id"), path: r.URL.Path, body: string(body)}
	w.record("leaf %s of %s runs request %s (%s %s)", e.leaf, e.service, e.request, r.Method, e.path)
	w.mu.Lock()
	w.runs = append(w.runs, e)
	w.mu.Unlock()
}

func (w *world) health(l *leaf, left time.Duration) {
	w.record("leaf %s answers a health check, X-Warmup-Ms %d", l.id, left.Milliseconds())
	w.mu.Lock()
	w.probes = append(w.probes, event{at: time.Now(), leaf: l.id, left: left})
	w.mu.Unlock()
}

// addLeaf starts a leaf that has been up for long.
func (w *world) addLeaf(l *leaf) error {
	l.world = w
	w.leaves = append(w.leaves, l)
	return l.start(false)
}

// startHosts starts one host for each listed zone, and waits until they serve and know each other.
func (w *world) startHosts(zones ...string) error {
	var seeds []string
	for i := range zones[:min(3, len(zones))] {
		seeds = append(seeds, w.ip(i+1)+":8106")
	}
	for i, zone := range zones {
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: w.ip(i + 1), zone: zone, world: w}
		if err := h.writeSettings(seeds, true); err != nil {
			return err
		}
		w.hosts = append(w.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range w.hosts {
		if err := h.awaitReady(); err != nil {
			return err
		}
		if err := h.writeSettings(seeds, false); err != nil { // for its next start
			return err
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (h *host) writeSettings(seeds []string, bootstrap bool) error {
	w := h.world
	body, err := json.Marshal(map[string]any{
		"node_name": h.name, "role": "host", "machine_class": "front", "serves": []string{"front", "control"},
		"ip": h.ip, "zone": h.zone, "region": w.zones[h.zone], "zones": w.zones,
		"listen":              map[string]string{"front": h.ip + ":8104", "ready": h.ip + ":8108", "control": h.ip + ":8106"},
		"internal_port_range": []int{7380, 7395}, "seeds": seeds, "bootstrap": bootstrap, "fault_counted": false,
		"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_interval_ms": heartbeat.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
		"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "address_reuse_s": 2, "contact_ms": contact.Milliseconds(), "ack_ms": 5000, "catch_up_s": 4,
			"drain_ms": drain.Milliseconds(), "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": configApply.Milliseconds(),
			"downgrade_slack_ms": 250, "max_stretch_ms": 12000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
			"retry_budget_slack": 52, "warmup_overage": overage, "warmup_slack": warmupSlack, "evacuate_ms": 5000, "recovery_s": 12,
		},
		"platform": map[string]any{
			"address": w.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	h.settings = filepath.Join(w.dir, h.name+".json")
	return os.WriteFile(h.settings, body, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(filepath.Join(h.world.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	h.cmd = exec.Command(filepath.Join(h.world.root, "target/dandelionstile"))
	h.cmd.Dir = h.world.root
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONSTILE_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = log, log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.started, h.ended = time.Now(), make(chan struct{})
	cmd, ended := h.cmd, h.ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	h.world.record("host %s starts", h.name)
	return nil
}

func (h *host) kill() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
}

// restart stops the process with SIGTERM, as the platform does, and starts it again.
func (h *host) restart() error {
	h.world.record("host %s gets SIGTERM", h.name)
	_ = h.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-h.ended:
	case <-time.After(6 * time.Second):
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
	if err := h.start(); err != nil {
		return err
	}
	return h.awaitReady()
}

func (h *host) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 150 {
		if r, err := client.Get("http://" + h.ip + ":8108/ready"); err == nil {
			_ = r.Body.Close()
			if r.StatusCode == http.StatusOK {
				h.world.record("host %s is ready", h.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

// route is a route of the operators.
type route map[string]any

// service is a service of the operators.
func service(name string, perS float64) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 100, "warmup_s": 3.0, "warmup_per_s": perS}
}

// putConfig writes the operators' configuration.
func (w *world) putConfig(version int, routes []route, services ...map[string]any) error {
	body, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	if err != nil {
		return err
	}
	w.store.put("op/config", body, 0)
	w.record("config %d is acknowledged", version)
	return nil
}

func simpleRoute(name, kind, to string, targetMS, timeoutMS int) route {
	return route{
		"name": name, "host": domain, "prefix": "/" + name + "/", "route_type": kind, "timeout_ms": timeoutMS, "target_latency_ms": targetMS,
		"priority": 1, "service": to, "max_attempts": 2, "allowed_regions": []string{},
	}
}

// clientPool keeps the connections of the clients.
var clientPool = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true, IdleConnTimeout: 8 * time.Second}}

// send sends one attempt of a client to a host and waits for its end.
func (w *world) send(hostIndex int, method, path, body string, deadline time.Duration, header ...string) sending {
	id := fmt.Sprintf("q%d-%06d", w.net[1], w.nextID.Add(1))
	s := sending{at: time.Now(), id: id, path: path, host: hostIndex}
	h := w.hosts[hostIndex]
	r, err := http.NewRequest(method, "http://"+h.ip+":8104"+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the addresses are well formed
	}
	r.Host = domain
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w.record("client sends %s (%s %s) to %s", id, method, path, h.name)
	client := *clientPool
	client.Timeout = deadline + 500*time.Millisecond
	res, err := client.Do(r)
	if err == nil {
		s.status, s.stamp, s.header = res.StatusCode, res.Header.Get("X-Server-Stamp"), res.Header
		s.body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		if err != nil {
			s.status = 0
		}
	}
	s.ended, s.err = time.Now(), err
	w.record("client gets %d for %s, signature %q", s.status, id, s.stamp)
	w.mu.Lock()
	w.sent = append(w.sent, s)
	w.mu.Unlock()
	return s
}

// verdict reports the result: the exit code is 1 if the rule was broken.
func (w *world) verdict(broken bool, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	word := "held"
	if broken {
		word = "BROKEN"
	}
	w.record("verdict: %s: %s", word, text)
	fmt.Printf("trouble %v: %s: %s\n", w.trouble, word, text)
	if broken {
		return 1
	}
	return 0
}
