package topo

import (
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/conf"
	"dandelionstile/share/junk"
)

// A file nests without end. Parsing it took GBs of memory for each 30 kB, which ends the process. It
// must be a fault with file and line, and a file that does not nest must not.
func TestDeeplyNestedFileIsAFault(t *testing.T) {
	const size = 20_000 // without the check, a larger file would take the memory of the machine
	for name, nested := range map[string]string{
		"lists":    strings.Repeat("[", size),
		"closed":   strings.Repeat("[", size/2) + strings.Repeat("]", size/2),
		"mappings": strings.Repeat("{a: ", size/4),
		"entries":  "\n" + strings.Repeat("- ", size/2) + "x",
		"keys":     "\n" + strings.Repeat("? ", size/2) + "x",
		"lines":    "\n" + indented(150),
	} {
		body := []byte("version: 1\nhosts: " + nested)
		before := junk.HeapBytes()
		_, err := ParseHosts(body)
		grown := junk.HeapBytes() - before
		assert.Assert(t, grown < 64<<20, "%s: %d bytes, %.200v", name, grown, err)
		assertNested(t, name, "host-list", err)
		_, err = ParseManifest(body)
		assertNested(t, name, "manifest", err)
		_, err = Parse(1, []Part{{Name: "a.yaml", Body: body}})
		assertNested(t, name, "a.yaml", err)
	}
	for name, text := range map[string]string{
		"quoted":  `x: "` + strings.Repeat("[", 1000) + `"`,
		"comment": "# " + strings.Repeat("{a: ", 1000),
		"block":   "x: |\n  " + strings.Repeat("- ", 1000),
		"flat":    "x: [" + strings.Repeat("[], ", 1000) + "]",
		"entries": "x:\n" + strings.Repeat("  - {a: b}\n", 1000),
	} {
		_, err := ParseHosts([]byte("version: 1\n" + text))
		assert.Assert(t, err == nil || !strings.Contains(err.Error(), "nested"), "%s: %v", name, err)
	}
}

// indented returns mappings that nest by their indentation.
func indented(depth int) string {
	var b strings.Builder
	for n := range depth {
		b.WriteString(strings.Repeat(" ", n+1) + "a:\n")
	}
	return b.String()
}

func assertNested(t *testing.T, name, file string, err error) {
	t.Helper()
	var faults conf.Faults
	assert.Assert(t, errors.As(err, &faults), "%s: %v", name, err)
	assert.Equal(t, faults[0].File, file, name)
	assert.Assert(t, faults[0].Line > 1 && strings.Contains(faults[0].Problem, "nested"), "%s: %v", name, err)
}
