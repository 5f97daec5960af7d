package lab

import (
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrEnded says that a program ended although nobody asked it to.
var ErrEnded = errors.New("program ended by itself")

// Process is a program that the lab started.
type Process struct {
	name  string
	cmd   *exec.Cmd
	done  chan struct{}
	err   error
	asked atomic.Bool // its end was asked for
}

// Ended returns ErrEnded with the cause if the program ended by itself.
func (p *Process) Ended() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	if p.asked.Load() {
		return nil
	}
	return errors.Wrapf(ErrEnded, "%s: %v", p.name, p.err)
}

// Signal sends a signal to a process that still runs.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // it may end meanwhile
	}
}

// Kill ends a process at once and waits.
func (p *Process) Kill() {
	p.asked.Store(true)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop asks a process to leave and returns its verdict, killing it after a
// while.
func (p *Process) Stop() error {
	p.asked.Store(true)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(30 * time.Second):
		p.Kill()
		return errors.New("process did not leave")
	}
}
