package node

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// basic is a valid settings file of three lines.
const basic = `host: {name: h, failure-domain: d}
listen: {links: "127.0.0.1:1", admin: "127.0.0.1:2"}
platform: {address: "127.0.0.1:3"}
`

// load loads a settings file with this text.
func load(t *testing.T, text string) (Settings, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return Load(path)
}

// An entry without routes settings must not serve routes. With them, it must get the
// addresses and bounds of the file.
func TestRoutesSettings(t *testing.T) {
	t.Parallel()
	s, err := load(t, basic+"routes: {listen: \"127.0.0.1:4\", gossip: \"127.0.0.1:5\", relay: \"127.0.0.1:6\", seeds: [\"127.0.0.2:5\"], second-calls: {ratio: 0.1}}\n")
	assert.NilError(t, err)
	assert.Equal(t, s.Routes.Listen, "127.0.0.1:4")
	assert.Equal(t, s.Routes.SecondCalls.Ratio, 0.1)
	s, err = load(t, basic)
	assert.NilError(t, err)
	assert.Equal(t, s.Routes.Listen, "", "routes are served without routes.listen")
}

// With seeds but no gossip address, a host would work alone and use the bounds of
// all hosts for itself. The file is rejected and the faulty line named.
func TestRoutesSettingsThatCannotWorkAreRefused(t *testing.T) {
	t.Parallel()
	for text, want := range map[string]string{
		"routes:\n  listen: 127.0.0.1:4\n  seeds: [\"127.0.0.2:5\"]\n":                    "settings.yaml:6: routes.seeds: seeds have no effect without gossip",
		"routes:\n  listen: 127.0.0.1:4\n  gossip: 127.0.0.1:5\n":                         "routes: gossip and relay must be set together",
		"routes:\n  gossip: 127.0.0.1:5\n  relay: 127.0.0.1:6\n":                          "routes: gossip has no effect without listen",
		"routes:\n  listen: here\n":                                                       "settings.yaml:5: routes.listen",
		"routes:\n  listen: 127.0.0.1:4\n  second-calls:\n    ratio: -1\n    colour: 1\n": "settings.yaml:8: routes.second-calls.colour: unknown key",
	} {
		_, err := load(t, basic+text)
		assert.ErrorContains(t, err, want)
	}
}
