package evloop

import (
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// maxHeld bounds the descriptors that are held for an engine, and maxHeldShare those of
	// all engines, as a share of what the process may open.
	maxHeld      = 128
	maxHeldShare = 0.5
	// minConfirmed is the number of confirmed ones below which loops confirm others.
	minConfirmed = maxHeld / 8
	// releasePause is how long none are held after the process has run out of descriptors.
	releasePause = 10 * time.Second
)

// descriptors holds free descriptors until their loops confirm that no events of former
// connections are left, and then until new connections take them. The kernel gives a
// new connection the lowest descriptor that is free, so all free ones below those confirmed
// are held as well.
type descriptors struct {
	mu     sync.Mutex
	source int // held descriptors are copies of it
	limit  int // descriptors from here on are not held
	closed bool
	used   bool // by a connection since the last call of prepare
	// round counts the calls of release. Descriptors from an earlier one are not held any
	// more. None are held until resume.
	round  int
	resume time.Time
	// fresh ones may have events. loops are by their numbers, and turn is the one that is
	// next in turn.
	fresh []int
	loops []loopDescriptors
	turn  int
}

// loopDescriptors holds the descriptors of one loop, as the engine assigns them. The loop
// has yet to confirm the pending ones.
type loopDescriptors struct {
	pending, confirmed []int
	last               *nbio.Conn // the last connection of the loop
}

// open holds copies of fd for a number of loops. They have had no connections, so there are
// no events.
func (d *descriptors) open(fd, loops int) (err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	d.limit = int(maxHeldShare * float64(limit.Cur))
	if d.source, err = syscall.Dup(fd); err != nil {
		return err
	}
	d.loops = make([]loopDescriptors, loops)
	d.fill()
	for _, i := range d.submit() {
		d.loops[i].confirm()
	}
	return nil
}

// close frees all descriptors.
func (d *descriptors) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || d.loops == nil {
		return
	}
	d.closed = true
	_ = syscall.Close(d.source)
	d.free()
}

// release frees all descriptors and holds none for releasePause.
func (d *descriptors) release() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return
	}
	d.round++
	d.resume = time.Now().Add(releasePause)
	d.free()
}

// free frees the held descriptors.
func (d *descriptors) free() {
	fds := d.fresh
	for i := range d.loops {
		lp := &d.loops[i]
		fds = slices.Concat(fds, lp.pending, lp.confirmed)
		lp.pending, lp.confirmed = nil, nil
	}
	for _, fd := range fds {
		_ = syscall.Close(fd)
	}
	d.fresh = nil
}

// convert returns the engine's connection for conn and reports whether its descriptor is
// confirmed.
func (d *descriptors) convert(conn net.Conn) (c *nbio.Conn, confirmed bool, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.used = true
	fd := -1
	if lp := d.nextLoop(); lp != nil {
		last := len(lp.confirmed) - 1
		fd = lp.confirmed[last]
		lp.confirmed = lp.confirmed[:last]
		_ = syscall.Close(fd)
	}
	// All connections of the engine are converted under the lock, so the same number means
	// that no other one has had it in between.
	c, err = nbio.NBConn(conn)
	if err != nil {
		return nil, false, err
	}
	d.loops[c.Hash()%len(d.loops)].last = c
	return c, c.Hash() == fd, nil
}

// nextLoop returns the loop for the next connection, or nil if none has confirmed
// descriptors. It is the first loop whose last connection has ended, which is likely to be
// free and still on a processor, or else the next in turn.
func (d *descriptors) nextLoop() *loopDescriptors {
	for i := range d.loops {
		if lp := &d.loops[i]; len(lp.confirmed) > 0 && lp.lastEnded() {
			return lp
		}
	}
	for range d.loops {
		lp := &d.loops[d.turn]
		d.turn = (d.turn + 1) % len(d.loops)
		if len(lp.confirmed) > 0 {
			return lp
		}
	}
	return nil
}

// lastEnded reports whether the loop's last connection has ended, if it has had one.
func (lp *loopDescriptors) lastEnded() bool {
	if lp.last == nil {
		return true
	}
	ended, _ := lp.last.IsClosed()
	return ended
}

// prepare holds the free descriptors below those confirmed. If few are confirmed and none
// are pending, it returns the loops that must confirm others, and the round for confirm.
func (d *descriptors) prepare() (loops []int, round int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || !d.used || time.Now().Before(d.resume) {
		return nil, d.round
	}
	d.used = false
	pending, confirmed, highest := 0, 0, -1
	for _, lp := range d.loops {
		pending += len(lp.pending)
		confirmed += len(lp.confirmed)
		for _, fd := range lp.confirmed {
			highest = max(highest, fd)
		}
	}
	d.fillBelow(highest)
	if confirmed >= minConfirmed || pending > 0 {
		return nil, d.round
	}
	d.fill()
	return d.submit(), d.round
}

// submit makes the fresh descriptors pending and returns the loops that must confirm them.
func (d *descriptors) submit() []int {
	var loops []int
	for _, fd := range d.fresh {
		i := fd % len(d.loops)
		if len(d.loops[i].pending) == 0 {
			loops = append(loops, i)
		}
		d.loops[i].pending = append(d.loops[i].pending, fd)
	}
	d.fresh = nil
	return loops
}

// confirm records that a loop has no events of former connections with the descriptors that
// were prepared for it in a round.
func (d *descriptors) confirm(loop, round int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.closed && d.round == round {
		d.loops[loop].confirm()
	}
}

func (lp *loopDescriptors) confirm() {
	lp.confirmed = append(lp.confirmed, lp.pending...)
	lp.pending = nil
}

// fill holds free descriptors up to maxHeld.
func (d *descriptors) fill() {
	for d.hold() {
	}
}

// fillBelow holds the free descriptors below fd, up to maxHeld in all.
func (d *descriptors) fillBelow(fd int) {
	for d.hold() {
		if last := len(d.fresh) - 1; d.fresh[last] > fd {
			_ = syscall.Close(d.fresh[last])
			d.fresh = d.fresh[:last]
			return
		}
	}
}

// hold holds the lowest free descriptor. It reports false if there is none below the limit,
// or if maxHeld are held.
func (d *descriptors) hold() bool {
	held := len(d.fresh)
	for _, lp := range d.loops {
		held += len(lp.pending) + len(lp.confirmed)
	}
	if held >= maxHeld {
		return false
	}
	fd, err := syscall.Dup(d.source)
	if err != nil {
		return false
	}
	if fd >= d.limit {
		_ = syscall.Close(fd)
		return false
	}
	d.fresh = append(d.fresh, fd)
	return true
}
