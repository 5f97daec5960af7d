package lab

import (
	"os/exec"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnexpectedExit means that a program exited without a call of Kill or Stop.
var ErrUnexpectedExit = errors.New("program exited unexpectedly")

// Process is a program that the lab started.
type Process struct {
	name     string
	cmd      *exec.Cmd
	done     chan struct{}
	err      error
	stopping atomic.Bool // Kill or Stop was called
}

// UnexpectedExit returns ErrUnexpectedExit with the cause if the program exited
// without a call of Kill or Stop.
func (p *Process) UnexpectedExit() error {
	select {
	case <-p.done:
	default:
		return nil
	}
	if p.stopping.Load() {
		return nil
	}
	return errors.Wrapf(ErrUnexpectedExit, "%s: %v", p.name, p.err)
}

// Signal sends a signal to a process that is running.
func (p *Process) Signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s) // it may have exited in the meantime
	}
}

// Kill kills a process and waits until it has exited.
func (p *Process) Kill() {
	p.stopping.Store(true)
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Stop sends SIGTERM and returns the exit error. A process that doesn't exit
// within 30 s is killed, which is an error.
func (p *Process) Stop() error {
	p.stopping.Store(true)
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(30 * time.Second):
		p.Kill()
		return errors.New("process did not exit within 30 s of SIGTERM")
	}
}
