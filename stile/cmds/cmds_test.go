package cmds

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stile runs a command line and returns its exit code and output.
func stile(args ...string) (int, string, string) {
	var out, errOut bytes.Buffer
	code := Main(args, &out, &errOut)
	return code, out.String(), errOut.String()
}

func sample(name string) string { return filepath.Join("..", "..", "samples", name) }

func TestSampleInventoriesAreValid(t *testing.T) {
	for _, name := range []string{"himal", "kumomaru"} {
		code, out, errOut := stile("check", sample(name))
		assert.Equal(t, code, ExitOK, errOut)
		assert.Assert(t, strings.Contains(out, "valid:"), out)
	}
}

// modifiedSample copies the kumomaru sample with some files replaced.
func modifiedSample(t *testing.T, contents map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	files, err := filepath.Glob(filepath.Join(sample("kumomaru"), "*.yaml"))
	assert.NilError(t, err)
	for _, f := range files {
		name := filepath.Base(f)
		body, err := os.ReadFile(f)
		assert.NilError(t, err)
		if other, ok := contents[name]; ok {
			body = []byte(other)
		}
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), body, 0o600))
	}
	return dir
}

// A change that takes the last replica of a shard out of service must not be reported
// as safe; otherwise operators publish it unaware.
func TestDiffWarnsOfLostCoverage(t *testing.T) {
	dir := modifiedSample(t, map[string]string{"rules.yaml": "out-of-service: [sapporo, sendai]\n"})
	code, out, _ := stile("diff", sample("kumomaru"), dir)
	assert.Equal(t, code, ExitFault)
	assert.Assert(t, strings.Contains(out, "coverage is lost"), out)
	assert.Assert(t, strings.Contains(out, "loses its work: failure domain sapporo is out"), out)
	code, out, _ = stile("diff", sample("kumomaru"), sample("kumomaru"))
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "safe:"), out)
}

// A route may be valid although its service has no server left where it may be served,
// and a route in use may be dropped. Both must be reported before they are published.
func TestDangersAndChangesOfRoutesAreReported(t *testing.T) {
	dir := modifiedSample(t, map[string]string{
		"rules.yaml": "out-of-service: [osaka]\n",
		"routes.yaml": `routes:
  - {name: find, host: closet.example, prefix: /find/, idempotent: true, target-ms: 3000, shards: [returns-desk, warehouse-picking]}
  - {name: far, host: closet.example, prefix: /far/, service: returns-desk, regions: [kansai]}
`,
	})
	code, out, errOut := stile("check", dir)
	assert.Equal(t, code, ExitOK, errOut)
	assert.Assert(t, strings.Contains(out, "route far: service returns-desk has no backend server in service"), out)
	assert.Assert(t, strings.Contains(out, "route find: its target of 3000 ms is above its timeout of 2000 ms"), out)
	_, out, _ = stile("diff", sample("kumomaru"), dir)
	for _, want := range []string{"is dropped: its requests will get 404", "far                         is new", "find                        changes times, what an answer holds"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
}

// Every fault must be listed at once, with its file, line and key.
func TestCheckListsFaults(t *testing.T) {
	f := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(f, []byte("services:\n  - {name: x}\ncolour: red\n"), 0o600))
	code, out, _ := stile("check", f)
	assert.Equal(t, code, ExitFault)
	for _, want := range []string{"bad.yaml:2: services[0].layouts: missing", "bad.yaml:3: colour: unknown key"} {
		assert.Assert(t, strings.Contains(out, want), out)
	}
	code, out, _ = stile("check", "--output", "json", f)
	assert.Equal(t, code, ExitFault)
	assert.Assert(t, strings.Contains(out, `"valid": false`), out)
}

// The manifest must name the version and the parts by file name, without directories.
func TestManifestNamesTheParts(t *testing.T) {
	code, out, _ := stile("check", "--manifest", "7", sample("himal"))
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "version: 7"), out)
	assert.Assert(t, strings.Contains(out, "name: rules.yaml"), out)
}

func TestExitCodes(t *testing.T) {
	for _, c := range []struct {
		args []string
		want int
	}{
		{nil, ExitUsage},
		{[]string{"help"}, ExitOK},
		{[]string{"nonsense"}, ExitUsage},
		{[]string{"check"}, ExitUsage},
		{[]string{"check", "--output", "xml", "x"}, ExitUsage},
		{[]string{"check", "/no/such/file"}, ExitFault},
		{[]string{"status", "--admin", "127.0.0.1:1", "--timeout", "1s"}, ExitUnreachable},
		{[]string{"version"}, ExitOK},
		{[]string{"completion"}, ExitOK},
	} {
		code, _, errOut := stile(c.args...)
		assert.Equal(t, code, c.want, "%v: %s", c.args, errOut)
	}
}
