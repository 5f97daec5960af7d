package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// entryTime is how long the entry of a leaf that has crashed stays: three heartbeat intervals.
const entryTime = 3600 * time.Millisecond

// head lets all leafs of one service crash (srv_crash, all), and checks MIXED: a client that keeps
// its connection gets no bytes that are no answer in the protocol. It asks with HEAD, to which an
// answer has no body, and then with GET for another service.
func head(w *world, trouble bool) (int, error) {
	var desk []*leaf
	for i := range 2 {
		for _, service := range []string{"batch", "desk"} {
			l, err := w.startLeaf(fmt.Sprintf("i-%s%d", service, i), service, "zone-a", 20*time.Millisecond)
			if err != nil {
				return notRun, err
			}
			if service == "desk" {
				desk = append(desk, l)
			}
			w.writeEntry(l, "ready")
		}
	}
	w.store.put("op/config", longConfig(7, shortTimeout))
	if err := w.startFronts([]string{"zone-a", "zone-a"}, map[string]string{"zone-a": "region-a"}, bounds()); err != nil {
		return notRun, err
	}
	if err := w.waitReady(15 * time.Second); err != nil {
		return notRun, err
	}
	time.Sleep(5 * time.Second) // in touch
	if trouble {
		for _, l := range desk {
			_ = l.server.Close()
		}
		time.Sleep(entryTime)
		for _, l := range desk {
			w.store.remove("servers/" + l.id)
		}
		time.Sleep(time.Second)
	}
	whole, broken := 0, 0
	for _, f := range w.fronts {
		for n := range 5 {
			ok, err := w.headThenGet(f, fmt.Sprintf("%s-%d", f.name, n))
			switch {
			case err != nil:
				return notRun, err
			case ok:
				whole++
			default:
				broken++
			}
		}
	}
	fmt.Printf("proper answers after a HEAD: %d; bytes that are no answer: %d\n", whole, broken)
	if broken > 0 {
		return ruleBroken, nil
	}
	return ruleHeld, nil
}

// headThenGet sends a HEAD and a GET on one connection, and reports whether the answer to the GET
// is one in HTTP.
func (w *world) headThenGet(f *front, id string) (bool, error) {
	conn, err := net.Dial("tcp", w.address(f))
	if err != nil {
		return false, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
	r := bufio.NewReader(conn)
	ask := func(method, path, id string) error {
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", method, path, host, id)
		if err != nil {
			return err
		}
		res, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			w.note("%s: %s %s %s: %v", f.name, id, method, path, err)
			return err
		}
		_, err = io.Copy(io.Discard, res.Body)
		w.note("%s: %s %s %s: status %d, error %v", f.name, id, method, path, res.StatusCode, err)
		return err
	}
	if err := ask(http.MethodHead, "/look/x", "head-"+id); err != nil {
		return false, err
	}
	return ask(http.MethodGet, "/batch/x", "get-"+id) == nil, nil
}
