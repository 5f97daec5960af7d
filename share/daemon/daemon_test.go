package daemon

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

// asProgram is the environment variable that makes the test binary run one of programs.
const asProgram = "DANDELIONSTILE_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if start := programs[os.Getenv(asProgram)]; start != nil {
		var a Arguments
		os.Exit(Main("test", &a, &a, start))
	}
	os.Exit(m.Run())
}

// programs are start functions by the names of the tests that use them.
var programs = map[string]func(Env) (Service, error){
	"TestSignalDuringStartEndsTheProcess": func(Env) (Service, error) {
		stopSelf()
		return newService(func() error { return nil }), nil
	},
	"TestSignalDuringCloseEndsTheProcess": func(Env) (Service, error) {
		return newService(func() error {
			stopSelf()
			return nil
		}), nil
	},
	"TestUnreadLogBlocksTheProgram": func(env Env) (Service, error) {
		for range maxPipeBytes / len(longText) {
			env.Log.Info().Msg(longText)
		}
		return newService(func() error { return errTest }), nil
	},
}

// maxPipeBytes is more than a pipe holds.
const maxPipeBytes = 1 << 20

var (
	longText = strings.Repeat("x", 1<<10)
	errTest  = errors.New("a part of the program failed to stop")
)

// newService returns a service that sends SIGTERM to its process until Leave is called.
func newService(closeService func() error) Service {
	signals, left := make(chan os.Signal, 1), make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM) // so that one that comes too early doesn't end the process
	leave := sync.OnceFunc(func() { close(left) })
	go func() {
		for {
			select {
			case <-left:
				return
			case <-time.After(10 * time.Millisecond):
				stopSelf()
			}
		}
	}()
	return Service{Leave: leave, Close: func() error {
		leave()
		signal.Stop(signals)
		return closeService()
	}}
}

// stopSelf sends SIGTERM to the process and waits until it has arrived.
func stopSelf() {
	_ = syscall.Kill(os.Getpid(), syscall.SIGTERM) // the tests see if it fails
	time.Sleep(50 * time.Millisecond)
}

// program returns the command that runs the program with the name of the test.
func program(t *testing.T) *exec.Cmd {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	ip := fmt.Sprintf("127.%d.%d.1", 60+os.Getpid()>>8%20, os.Getpid()%256) // the settings allow no port 0
	assert.NilError(t, os.WriteFile(settings, fmt.Appendf(nil, `host: {name: h, failure-domain: d}
listen: {links: "%[1]s:7001", admin: "%[1]s:9001"}
platform: {address: "%[1]s:6000"}
`, ip), 0o600))
	cmd := exec.Command(os.Args[0], "--settings", settings)
	cmd.Env = append(os.Environ(), asProgram+"="+t.Name())
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return cmd
}

// runProgram runs the program with the name of the test and checks that it ends by itself.
func runProgram(t *testing.T) {
	t.Helper()
	output, err := program(t).CombinedOutput()
	assert.NilError(t, err, "%s", output)
}

// A program gets SIGTERM while it starts and serves callers already. It was killed, and their
// requests got no answer.
func TestSignalDuringStartEndsTheProcess(t *testing.T) { runProgram(t) }

// A program that has left gets another SIGTERM while it closes. It was killed, and the callers that
// Close waits for got no answer.
func TestSignalDuringCloseEndsTheProcess(t *testing.T) { runProgram(t) }

// Nobody reads the log of a program. The program stood still, and did not end when it was stopped.
func TestUnreadLogBlocksTheProgram(t *testing.T) {
	unread, stderr, err := os.Pipe()
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, errors.CombineErrors(unread.Close(), stderr.Close())) })
	cmd := program(t)
	cmd.Stderr = stderr
	assert.NilError(t, cmd.Start())
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is checked
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(3 * time.Second):
		assert.NilError(t, cmd.Process.Kill())
		<-ended
	}
	assert.Equal(t, cmd.ProcessState.ExitCode(), ExitFailure, cmd.ProcessState.String())
}
