package cmds

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"dandelionstile/share/admin"
)

// Operators' scripts read these keys. A renamed Go field or a changed tag would
// rename a key, and the scripts would read zero values without an error.
func TestJSONKeys(t *testing.T) {
	for _, c := range []struct {
		command string
		value   any
		keys    string
		omitted string // top-level keys that a zero value lacks
	}{
		{
			command: "check",
			value:   checkResult{},
			keys: `dangers faults faults.file faults.hint faults.key faults.line faults.problem
				leafs routes servers services valid`,
		},
		{
			command: "coverage",
			value:   coverageResult{},
			keys: `host services services.missing services.missing.reason services.missing.shard
				services.reachable services.service services.shards services.snapshot`,
		},
		{
			command: "diff",
			value:   diffResult{},
			keys: `leafs leafs.change leafs.leaf leafs.server routes routes.change routes.route safe
				services services.service services.shards-left-with-one-leaf services.shards-lost
				services.slots-after services.slots-before`,
		},
		{
			command: "explain",
			value:   admin.Query{},
			keys: `answered calls extra-attempts id missing missing.reason missing.shard refused
				service shards snapshot
				steps steps.at-ms steps.cause steps.event steps.host steps.leaf steps.shard took-ms`,
		},
		{
			command: "losses",
			value:   lossTable{},
			keys: `Causes Causes.Asked Causes.Lost Causes.Name
				Routes Routes.Asked Routes.Lost Routes.Name
				Spans Spans.Asked Spans.Cause Spans.From Spans.Lost`,
		},
		{
			command: "status",
			value:   programStatus{},
			keys: `admin
				leafs leafs.busy leafs.closed leafs.connections leafs.exclusive leafs.leaf
				leafs.limit leafs.primary leafs.queued leafs.ramp-left-ms leafs.server
				leafs.service leafs.slots
				node node.failure-domain node.host node.incarnation node.leaving
				node.peers node.peers.leaving node.peers.name node.platform-age-ms node.program
				node.ready node.refused node.refused.key node.refused.version node.refused.why
				node.versions node.versions.digest node.versions.key node.versions.version
				node.watching
				problem quarantine quarantine.count quarantine.fingerprint quarantine.left-ms
				services services.missing services.missing.reason services.missing.shard
				services.reachable services.service services.shards services.snapshot`,
			omitted: "leafs problem quarantine services",
		},
		{
			command: "version",
			value:   versionResult{},
			keys:    "version",
		},
	} {
		t.Run(c.command, func(t *testing.T) {
			filled := reflect.New(reflect.TypeOf(c.value)).Elem()
			fill(t, filled)
			keys, zero := jsonKeys(t, filled.Interface()), jsonKeys(t, c.value)
			assert.DeepEqual(t, keys, strings.Fields(c.keys))
			omitted := []string{}
			for _, k := range keys {
				if !strings.Contains(k, ".") && !slices.Contains(zero, k) {
					omitted = append(omitted, k)
				}
			}
			assert.DeepEqual(t, omitted, strings.Fields(c.omitted))
		})
	}
}

// fill sets all exported fields to values that omitempty keeps; each slice gets
// one element.
func fill(t *testing.T, v reflect.Value) {
	t.Helper()
	switch {
	case v.Kind() == reflect.Struct:
		for i := range v.NumField() {
			if f := v.Field(i); f.CanSet() {
				fill(t, f)
			}
		}
	case v.Kind() == reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0))
	case v.Kind() == reflect.String:
		v.SetString("x")
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case v.CanInt():
		v.SetInt(1)
	case v.CanUint():
		v.SetUint(1)
	case v.CanFloat():
		v.SetFloat(1)
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}

// jsonKeys prints a value as --output json does and returns its keys, sorted.
// Keys below the top level have the keys above them as a prefix.
func jsonKeys(t *testing.T, value any) []string {
	t.Helper()
	var b bytes.Buffer
	out := printer{out: &b, json: true}
	assert.NilError(t, out.printJSON(value))
	var decoded any
	assert.NilError(t, json.Unmarshal(b.Bytes(), &decoded))
	keys := map[string]bool{}
	addKeys(keys, "", decoded)
	return slices.Sorted(maps.Keys(keys))
}

// addKeys adds the keys of a decoded value under a prefix; all elements of a list share it.
func addKeys(keys map[string]bool, prefix string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for k, inner := range v {
			keys[prefix+k] = true
			addKeys(keys, prefix+k+".", inner)
		}
	case []any:
		for _, inner := range v {
			addKeys(keys, prefix, inner)
		}
	}
}
