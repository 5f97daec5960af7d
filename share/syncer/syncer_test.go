package syncer

import (
	"testing"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionstile/share/clock"
)

// set returns a set whose items have these bodies and the names a, b, c and so on.
func set(version uint64, bodies ...string) *Set {
	items := make([]Item, len(bodies))
	for i, b := range bodies {
		items[i] = Item{Name: string(rune('a' + i)), Body: []byte(b)}
	}
	return NewSet(version, items)
}

// A delta must contain exactly the changed and removed items, here b and c: with fewer,
// hosts would not reach the new version, and with more, links would carry every file.
func TestDeltaLeadsFromOneVersionToAnother(t *testing.T) {
	old, next := set(1, "x", "y", "z"), set(2, "x", "q")
	d := next.diff("k", old)
	assert.Equal(t, len(d.Changed), 1)
	assert.Equal(t, len(d.Removed), 1)
	got, err := old.apply(d)
	assert.NilError(t, err)
	assert.Equal(t, got.Stamp(), next.Stamp())
}

// A delta that lost its changed items must not be accepted as the version that it names.
func TestWrongDeltaIsNotTaken(t *testing.T) {
	old, next := set(1, "x", "y"), set(2, "x", "q")
	d := next.diff("k", old)
	d.Changed = nil
	_, err := old.apply(d)
	assert.ErrorIs(t, err, ErrDeltaMismatch)
}

var errBad = errors.New("bad")

// Versions, stale answers and deltas arrive in any order. The version in force must only
// rise, and an invalid version must never be in force.
func TestVersionsOnlyRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := Engine{WatchKeys: []string{"k"}, Check: func(_ string, s *Set) error {
			if string(s.Items["a"]) == "bad" {
				return errBad
			}
			return nil
		}}
		var last Stamp
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			body := rapid.SampledFrom([]string{"x", "y", "bad"}).Draw(t, "body")
			s := set(uint64(rapid.IntRange(1, 6).Draw(t, "version")), body)
			var out []Action
			now := clock.Milli(i)
			switch rapid.IntRange(0, 2).Draw(t, "from") {
			case 0:
				out = e.HandleRead(now, ReadResult{Key: "k", Set: s})
			case 1:
				out = e.HandleDelta(now, "peer", s.diff("k", nil))
			case 2:
				out = e.HandleDelta(now, "peer", s.diff("k", set(1, "x")))
			}
			for _, a := range out {
				if ad, ok := a.(Adopt); ok {
					if !last.Less(ad.Stamp) || string(ad.Set.Items["a"]) == "bad" {
						t.Fatalf("adopted %v after %v", ad.Stamp, last)
					}
					last = ad.Stamp
				}
			}
			if e.Stamp("k").Less(last) {
				t.Fatal("version went back")
			}
		}
	})
}

// The peer that was asked for a version, p1, is paused. If the engine waited for it, the host
// would keep the old version although another peer has the new one.
func TestFrozenPeerIsNotWaitedFor(t *testing.T) {
	e := Engine{WatchKeys: []string{"k"}, Rank: -1}
	next := set(2, "x").Stamp()
	for _, p := range []string{"p1", "p2"} {
		e.HandleStamps(1, p, map[string]Stamp{"k": next})
	}
	asked := map[string]bool{}
	for now := clock.Milli(1); now < 5000; now += 100 {
		for _, a := range e.Tick(now) {
			if pull, ok := a.(SendPull); ok {
				asked[pull.Peer] = true
			}
		}
	}
	assert.Assert(t, asked["p2"], "asked only %v", asked)
}
