package slope

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"dandelionstile/share/fetch"
	"dandelionstile/share/mesh"
	"dandelionstile/share/node"
	"dandelionstile/share/wire"
)

// cpuTime returns the CPU time that this process has used, in microseconds.
func cpuTime() float64 {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0 // cannot fail for the calling process
	}
	us := func(t unix.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return us(u.Utime) + us(u.Stime)
}

// WireTime measures the time to encode and decode a batch and its outcomes, by
// the calls in the batch.
func WireTime() Line {
	l := Line{Name: "links: encode and decode a batch", Unit: "us", Per: "leaf call"}
	for _, calls := range []int{1, 12, 48} {
		batch := &wire.Envelope{Body: &wire.Envelope_Batch{Batch: testBatch(calls)}}
		outcomes := &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: testOutcomes(calls)}}
		l.Points = append(l.Points, Point{float64(calls), microseconds(func() {
			for _, m := range []*wire.Envelope{batch, outcomes} {
				body, err := proto.Marshal(m)
				if err == nil {
					err = proto.Unmarshal(body, &wire.Envelope{})
				}
				if err != nil {
					panic(err)
				}
			}
		})})
	}
	return fit(l)
}

// sink counts the frames that it receives, and hands over the first link that comes
// up.
type sink struct {
	up     chan *mesh.Link
	frames atomic.Int64
}

func (s *sink) Up(l *mesh.Link) {
	select {
	case s.up <- l:
	default:
	}
}

func (s *sink) Frame(*mesh.Link, *wire.Envelope) { s.frames.Add(1) }

func (s *sink) Down(*mesh.Link, error) {}

func (s *sink) RTT(*mesh.Link, time.Duration) {}

// LinkTime measures the CPU time of a message of outcomes on a loopback link,
// with both ends in this process, by the outcomes in the message.
func LinkTime() Line {
	l := Line{Name: "links: one message, both ends", Unit: "us", Per: "outcome in it"}
	server, client := &sink{up: make(chan *mesh.Link, 1)}, &sink{up: make(chan *mesh.Link, 1)}
	s := &mesh.Mesh{Hello: &wire.Hello{Host: "s"}, Handler: server}
	c := &mesh.Mesh{Hello: &wire.Hello{Host: "c"}, Handler: client}
	addr, err := s.Listen("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	c.Dial(addr.String())
	link := <-client.up
	for _, n := range []int{1, 12, 48} {
		m := &wire.Envelope{Body: &wire.Envelope_Outcomes{Outcomes: testOutcomes(n)}}
		const messages = 5000
		server.frames.Store(0)
		before := cpuTime()
		for range messages {
			for errors.Is(link.Send(m), mesh.ErrBusy) {
				time.Sleep(100 * time.Microsecond)
			}
		}
		for server.frames.Load() < messages {
			time.Sleep(time.Millisecond)
		}
		l.Points = append(l.Points, Point{float64(n), (cpuTime() - before) / messages})
	}
	_ = c.Close()
	_ = s.Close()
	return fit(l)
}

// LeafCallTime measures the CPU time of a leaf call over HTTP on loopback,
// including the test server, by the rows in the reply.
func LeafCallTime() Line {
	l := Line{Name: "leaf call over HTTP, both ends", Unit: "us", Per: "row"}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	var body atomic.Value
	body.Store([]byte{})
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		b, _ := body.Load().([]byte)
		_, _ = w.Write(b)
	})}
	go func() { _ = server.Serve(ln) }() // ends with Close
	engine := &fetch.Engine{}
	if err := engine.Start(); err != nil {
		panic(err)
	}
	request := []byte(`{"attempt":"h0001.1.2.3","service":"v000","snapshot":"1-7","shard":3,"text":"a query of some words","limit":10,"deadline-ms":40}`)
	for _, rows := range []int{1, 10, 30} {
		body.Store(make([]byte, 120*rows))
		before := cpuTime()
		const calls, workers = 500, 8
		var wg sync.WaitGroup
		for range workers {
			wg.Go(func() { callMany(engine, ln.Addr().String(), request, calls) })
		}
		wg.Wait()
		l.Points = append(l.Points, Point{float64(rows), (cpuTime() - before) / (calls * workers)})
	}
	_ = engine.Close()
	_ = server.Close()
	return fit(l)
}

// callMany sends n calls to a leaf, one after the other, over one connection. A
// reply or an error ends a call.
func callMany(engine *fetch.Engine, addr string, body []byte, n int) {
	c := &fetch.Conn{Engine: engine, Address: addr}
	defer c.Close()
	for range n {
		r, err := fetch.Request(http.MethodPost, addr, "/v1/leafs/x/query", body)
		if err != nil {
			return
		}
		done := make(chan struct{})
		c.Do(r, func(fetch.Reply, error) { close(done) })
		<-done
	}
}

// CompressedSize measures the compressed size of a changed file on a link, by its
// original size.
func CompressedSize() Line {
	l := Line{Name: "links: a changed file, compressed", Unit: "bytes", Per: "byte of the file"}
	for _, servers := range []int{4, 16, 64} {
		parts := inventory(2*servers, domains)
		body := parts[len(parts)-1].Body
		compressed := node.CompressItems(&wire.Items{Items: []*wire.Item{{Name: "p0001.yaml", Body: body}}})
		l.Points = append(l.Points, Point{float64(len(body)), float64(len(compressed))})
	}
	return fit(l)
}
