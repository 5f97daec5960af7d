package cmds

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Six requests: one complete, one that lacks two of four shards (one of them at the host
// that it was forwarded to), one late, one refused on arrival, one refused after work
// was done, and one whose caller left.
const lossLog = `
{"host":"a","request":"q1","route":"all","time":1000,"message":"admitted"}
{"host":"a","request":"q1","got":4,"of":4,"time":1100,"message":"answered"}
{"host":"a","request":"q2","route":"all","time":1000,"message":"admitted"}
{"host":"b","request":"q2","route":"all","forwarded":true,"time":1010,"message":"admitted"}
{"host":"b","request":"q2","forwarded":true,"got":1,"of":2,"missing":["s4 i-4 no reply yet"],"time":1190,"message":"answered-in-part"}
{"host":"a","request":"q2","got":2,"of":4,"missing":["s3 i-3 shed: rejected: 503 1","s4 10.0.0.2:1 the other host had no reply in time"],"time":1200,"message":"answered-in-part"}
{"host":"a","request":"q3","route":"all","time":1300,"message":"admitted"}
{"host":"a","request":"q3","got":4,"of":4,"late":true,"time":1900,"message":"answered"}
{"host":"a","request":"q4","route":"all","cause":"no-room: answers are late: 7 queries in flight, limit 5","time":1400,"message":"refused"}
{"host":"a","request":"q5","route":"one","time":1500,"message":"admitted"}
{"host":"a","request":"q5","route":"one","cause":"failed: too few shards can still answer","time":1600,"message":"refused"}
{"host":"a","request":"q6","route":"one","time":4500,"message":"admitted"}
{"host":"a","request":"q6","route":"one","time":4600,"message":"caller-gone"}
`

// Guards against losses that are counted twice or under a wrong cause: the sums by cause,
// by route and by time must be equal, and a shard that another host lacked must count
// under that host's own cause.
func TestLossesAddUp(t *testing.T) {
	name := filepath.Join(t.TempDir(), "log")
	assert.NilError(t, os.WriteFile(name, []byte(lossLog), 0o600))
	code, out, errOut := stile("losses", "--logs", name, "--output", "json")
	assert.Equal(t, code, ExitOK, errOut)
	var l lossTable
	assert.NilError(t, json.Unmarshal([]byte(out), &l))
	causes := map[string]float64{}
	sum := 0.0
	for _, c := range l.Causes {
		causes[c.Name] = c.Lost
		sum += c.Lost
	}
	assert.DeepEqual(t, causes, map[string]float64{
		"answered late":                1,
		"missing, shed: rejected: N N": 0.25,
		"refused, no-room: answers are late: N queries in flight, limit N": 1,
		"refused, failed: too few shards can still answer":                 1,
		"the caller left": 1,
		"missing, at the host it was handed to: no reply yet": 0.25,
	})
	routes, spans := 0.0, 0.0
	for _, r := range l.Routes {
		routes += r.Lost
	}
	for _, s := range l.Spans {
		spans += s.Lost
	}
	// Two of q2's four shards (0.5), and each of q3, q4, q5 and q6.
	assert.Equal(t, sum, 4.5)
	assert.Equal(t, routes, sum)
	assert.Equal(t, spans, sum)
	assert.Equal(t, len(l.Spans), 2)
	code, out, _ = stile("losses", "--logs", name)
	assert.Equal(t, code, ExitOK)
	assert.Assert(t, strings.Contains(out, "answered late"), out)
	code, _, errOut = stile("losses", "--logs", os.DevNull)
	assert.Equal(t, code, ExitFault)
	assert.Assert(t, strings.Contains(errOut, "tell of no request"), errOut)
}
