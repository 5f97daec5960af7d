package cmds

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"

	"dandelionstile/share/topo"
)

// readParts reads files in the given order, and the *.yaml files of directories sorted by
// name.
func readParts(paths []string) ([]topo.Part, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, errors.Wrap(err, "stat file")
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		found, err := filepath.Glob(filepath.Join(p, "*.yaml"))
		if err != nil {
			return nil, errors.Wrap(err, "list directory")
		}
		sort.Strings(found)
		files = append(files, found...)
	}
	parts := make([]topo.Part, 0, len(files))
	for _, f := range files {
		body, err := os.ReadFile(f)
		if err != nil {
			return nil, errors.Wrap(err, "read file")
		}
		parts = append(parts, topo.Part{Name: f, Body: body})
	}
	return parts, nil
}

// unpublishedVersion stands for the version of a configuration that is read from files; it
// gets its version when its manifest is printed.
const unpublishedVersion = 1

// loadConfig reads and validates a configuration.
func loadConfig(paths []string) (*topo.Config, error) {
	parts, err := readParts(paths)
	if err != nil {
		return nil, err
	}
	return topo.Parse(unpublishedVersion, parts)
}

// withBaseName returns the part under the name that it has in a manifest: that of its
// file without directories.
func withBaseName(p topo.Part) topo.Part {
	p.Name = strings.TrimPrefix(filepath.Base(p.Name), "/")
	return p
}
