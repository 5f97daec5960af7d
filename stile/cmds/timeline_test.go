package cmds

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// The logs of two hosts, one prefixed by a log collector, with lines of other requests,
// of another program, and of state changes that are too old or concern other leaves.
const (
	firstLog = `
{"level":"warn","host":"a","leaf":"i-1","cause":"refused","time":1000,"message":"leaf-unhealthy"}
{"level":"warn","host":"a","leaf":"i-2","cause":"dial: refused","time":20000,"message":"leaf-unhealthy"}
{"level":"warn","host":"a","leaf":"i-9","cause":"dial: refused","time":20001,"message":"leaf-unhealthy"}
{"level":"info","host":"a","request":"q1","time":21000,"message":"admitted"}
{"level":"info","host":"a","request":"q2","time":21001,"message":"admitted"}
no log line at all
{"level":"warn","host":"a","request":"q1","took-ms":200,"missing":["s1 i-2 no reply yet"],"time":21200,"message":"answered-in-part"}
`
	secondLog = `  12.5 host-b {"level":"info","host":"b","request":"q1","time":21050,"message":"admitted"}
  12.5 host-b {"level":"warn","host":"b","time":20500,"message":"store-lost"}
`
)

// Explaining a partial answer from logs returns the request's lines on both hosts and
// the state changes that affected it, sorted by time.
func TestExplainFromLogs(t *testing.T) {
	dir := t.TempDir()
	one, two := filepath.Join(dir, "one"), filepath.Join(dir, "two")
	assert.NilError(t, os.WriteFile(one, []byte(firstLog), 0o600))
	assert.NilError(t, os.WriteFile(two, []byte(secondLog), 0o600))
	code, out, errOut := stile("explain", "--logs", one, "--logs", two, "q1")
	assert.Equal(t, code, ExitOK, errOut)
	lines := strings.Split(strings.TrimSpace(out), "\n")
	assert.Equal(t, len(lines), 5, out)
	for i, want := range []string{"-1000 ms  a", "-500 ms  b", "+0 ms  a", "+50 ms  b", "+200 ms  a"} {
		assert.Assert(t, strings.Contains(lines[i], want), "%s: %s", want, lines[i])
	}
	assert.Assert(t, strings.Contains(lines[0], `leaf="i-2"`))
	code, _, errOut = stile("explain", "--logs", one, "q7")
	assert.Equal(t, code, ExitFault)
	assert.Assert(t, strings.Contains(errOut, "no line names the request"), errOut)
	code, _, errOut = stile("explain", "q7")
	assert.Equal(t, code, ExitFault)
	assert.Assert(t, strings.Contains(errOut, "--logs or --admin"), errOut)
}
