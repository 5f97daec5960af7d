// Command standin plays the platform, the leafs and the clients around the project's own program
// for the scripts of this review. It uses loopback addresses only.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is one small deployment.
type world struct {
	root   string // of the repository
	dir    string // temporary folder
	start  time.Time
	store  *store
	fronts []*front
	leafs  map[string]*leaf
	port   int // of callers, the same on all hosts
	// net begins the loopback addresses of this run: the program's port of metrics is fixed, so that
	// two runs can't share addresses.
	net string

	mu     sync.Mutex
	runs   map[string]bool // requests that a leaf has begun to run, by ID
	record *bufio.Writer
	file   *os.File
}

// front is one process of the project.
type front struct {
	name, ip, zone string
	run            []string // the command
	settings       string   // path of the settings file
	log            *os.File
	cmd            *exec.Cmd
	done           chan struct{}
}

// leaf is one stand-in of a back end.
type leaf struct {
	id, service, zone, address string
	server                     *http.Server
	work                       time.Duration
	// onRun, if set, replaces the ordinary run of a request.
	onRun func(w http.ResponseWriter, r *http.Request) bool
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%9.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

// newWorld starts a store. The record is written beside the script.
func newWorld(folder string) (*world, error) {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(filepath.Join(root, "target", "dandelionstile")); err != nil {
		return nil, fmt.Errorf("the program is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	w := &world{root: root, dir: dir, start: time.Now(), store: newStore(), net: fmt.Sprintf("127.%d.%d", 16+os.Getpid()%200, 1+os.Getpid()/200%250), leafs: map[string]*leaf{}, runs: map[string]bool{}, record: bufio.NewWriter(file), file: file}
	return w, nil
}

// freePorts returns the first of n successive ports that are free on an address.
func freePorts(ip string, n int) (int, error) {
	for range 50 {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return 0, err
		}
		first := ln.Addr().(*net.TCPAddr).Port
		_ = ln.Close()
		if first+n > 65535 {
			continue
		}
		free := true
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, first+i))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

// startFronts starts the project's program on one loopback address for each zone in the list, with
// settings like those of a small deployment.
func (w *world) startFronts(zones []string, regions map[string]string, bounds map[string]any) error {
	ln, err := net.Listen("tcp", w.net+".250:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(ln, w.store) }()
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("%s.%d", w.net, i+1))
	}
	first, err := freePorts(ips[0], 24)
	if err != nil {
		return err
	}
	w.port = first
	run, err := deployCommand(w.root)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips[:min(3, len(ips))] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, first+2))
	}
	for i, zone := range zones {
		f := &front{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ips[i], zone: zone}
		settings := map[string]any{
			"node_name": f.name, "role": "host", "machine_class": "front", "serves": []string{"front", "control"},
			"ip": f.ip, "zone": zone, "region": regions[zone], "zones": regions,
			"listen": map[string]string{
				"front": fmt.Sprintf("%s:%d", f.ip, first), "ready": fmt.Sprintf("%s:%d", f.ip, first+1), "control": fmt.Sprintf("%s:%d", f.ip, first+2),
			},
			"internal_port_range": []int{first + 4, first + 19}, "seeds": seeds, "bootstrap": true, "fault_counted": false,
			"limits":   map[string]any{"cpu_share": 0.4, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_interval_ms": 1200,
			"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "platform"},
			"fault_tolerance": map[string]int{"machines": 2, "zones": 1, "regions": 1}, "bounds": bounds,
			"platform": map[string]any{
				"address": ln.Addr().String(), "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
			},
		}
		body, err := json.Marshal(settings)
		if err != nil {
			return err
		}
		path := filepath.Join(w.dir, f.name+".json")
		if err := os.WriteFile(path, body, 0o600); err != nil {
			return err
		}
		f.run, f.settings = run, path
		if f.log, err = os.Create(filepath.Join(w.dir, f.name+".log")); err != nil {
			return err
		}
		if err := w.launch(f); err != nil {
			return err
		}
		w.fronts = append(w.fronts, f)
	}
	return nil
}

// launch starts the process of a front.
func (w *world) launch(f *front) error {
	cmd, done := exec.Command(filepath.Join(w.root, f.run[0]), f.run[1:]...), make(chan struct{})
	cmd.Dir = w.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONSTILE_SETTINGS=" + f.settings}
	cmd.Stdout, cmd.Stderr = f.log, f.log
	if err := cmd.Start(); err != nil {
		return err
	}
	f.cmd, f.done = cmd, done
	go func() {
		_ = cmd.Wait()
		w.note("%s ended: %v", f.name, cmd.ProcessState)
		close(done)
	}()
	return nil
}

// restart kills the process of a front and starts it again.
func (w *world) restart(f *front) error {
	_ = f.cmd.Process.Signal(syscall.SIGKILL)
	<-f.done
	time.Sleep(restartDelay)
	return w.launch(f)
}

// address returns where callers connect to a front.
func (w *world) address(f *front) string { return net.JoinHostPort(f.ip, strconv.Itoa(w.port)) }

// ran reports whether a leaf has begun to run a request.
func (w *world) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}

// deployCommand returns the words of "run" of the deploy file's role.
func deployCommand(root string) ([]string, error) {
	body, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(body), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Fields(strings.Trim(rest, `"`)), nil
		}
	}
	return nil, fmt.Errorf("the deploy file has no run line")
}

// waitReady waits until all fronts report that they are ready.
func (w *world) waitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, f := range w.fronts {
		for {
			res, err := http.Get(fmt.Sprintf("http://%s:%d/ready", f.ip, w.port+1))
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// startLeaf starts a leaf and returns it. Its entry is written by writeEntry.
func (w *world) startLeaf(id, service, zone string, work time.Duration) (*leaf, error) {
	ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", w.net, 100+len(w.leafs)))
	if err != nil {
		return nil, err
	}
	l := &leaf{id: id, service: service, zone: zone, address: ln.Addr().String(), work: work}
	l.server = &http.Server{Handler: http.HandlerFunc(func(out http.ResponseWriter, r *http.Request) { w.serveLeaf(l, out, r) }), IdleTimeout: time.Minute}
	go func() { _ = l.server.Serve(ln) }()
	w.leafs[id] = l
	return l, nil
}

// writeEntry writes a leaf's entry to the store and returns when that was acknowledged.
func (w *world) writeEntry(l *leaf, state string) time.Time {
	body, _ := json.Marshal(map[string]any{
		"service": l.service, "address": l.address, "zone": l.zone, "version": "v1", "slots": 3, "state": state,
		"warmup_left_ms": 0, "sequence": 1, "born": w.start.UnixMilli(),
	})
	return w.store.put("servers/"+l.id, body)
}

// serveLeaf runs a request as PROTOCOL.md says of leafs.
func (w *world) serveLeaf(l *leaf, out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != l.id {
		out.Header().Set("X-Instance-Id", l.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		out.Header().Set("X-Instance-Id", l.id)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	w.runs[id] = true
	w.mu.Unlock()
	w.note("%s (%s) runs %s %s from %s", l.id, l.service, id, r.URL.Path, r.RemoteAddr)
	if l.onRun != nil && l.onRun(out, r) {
		return
	}
	select {
	case <-time.After(l.work):
	case <-r.Context().Done():
		return
	}
	out.Header().Set("X-Request-Id", id)
	out.Header().Set("X-Server-Stamp", l.service+"."+l.id+"."+id)
	_, _ = out.Write([]byte("whole body of " + id))
}

// answer is what a client saw.
type answer struct {
	sent   time.Time
	took   time.Duration
	status int
	stamp  string
	// kept is set if the connection had carried a request before.
	kept bool
	err  error
}

// lost reports whether a kept connection ended without an answer, before the client's time was up,
// after the request had been passed on to a leaf.
func (a answer) lost(ran bool, wait time.Duration) bool {
	return a.err != nil && a.kept && ran && a.took < wait
}

// caller is a client with one connection, which it keeps for its next request. It never repeats
// a request.
type caller struct {
	w      *world
	front  *front
	conn   net.Conn
	reader *bufio.Reader
}

// ask sends a request and waits for its answer.
func (c *caller) ask(method, path, id string, wait time.Duration) answer {
	a := answer{sent: time.Now(), kept: c.conn != nil}
	a.err = c.exchange(&a, method, path, id, wait)
	a.took = time.Since(a.sent)
	if a.err != nil {
		c.close()
	}
	c.w.note("%s: %s %s %s sent %.3f: status %d stamp %q after %d ms, kept %v, error %v", c.front.name, id, method, path,
		a.sent.Sub(c.w.start).Seconds(), a.status, a.stamp, a.took.Milliseconds(), a.kept, a.err)
	return a
}

func (c *caller) exchange(a *answer, method, path, id string, wait time.Duration) error {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.w.address(c.front), time.Second)
		if err != nil {
			return err
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(a.sent.Add(wait))
	body := ""
	if method == http.MethodPost {
		body = "body of " + id
	}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", method, path, host, id, wait.Milliseconds())
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, text+"\r\n"+body); err != nil {
		return err
	}
	res, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	a.status, a.stamp = res.StatusCode, res.Header.Get("X-Server-Stamp")
	_, err = io.Copy(io.Discard, res.Body)
	if err == nil && res.Close {
		c.close()
	}
	return err
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// close ends all processes that were started, and the record.
func (w *world) close() {
	for _, f := range w.fronts {
		_ = f.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, f := range w.fronts {
		<-f.done
	}
	w.mu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.mu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
