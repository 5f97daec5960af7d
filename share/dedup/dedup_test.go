package dedup

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dandelionstile/share/clock"
)

// testHash is the content hash of all requests.
const testHash = 1

// If an id were admitted twice, its request would run twice. Whatever the order of calls,
// an id must not be admitted again unless it was released because its request did not
// run.
func TestAnIDRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		registry := Registry[string]{Host: "h", Incarnation: 3}
		var now clock.Milli
		var ids []ID
		ran := map[ID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Milli(rapid.IntRange(0, 100000).Draw(t, "wait"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				minted, err := registry.Mint(now, rapid.IntRange(1, 5).Draw(t, "n"))
				if err != nil {
					t.Fatal(err)
				}
				ids = append(ids, minted...)
			default:
				if len(ids) == 0 {
					continue
				}
				id := ids[rapid.IntRange(0, len(ids)-1).Draw(t, "id")]
				verdict, _ := registry.Begin(now, id, testHash)
				if verdict != Run {
					continue
				}
				if ran[id] {
					t.Fatalf("%s may run again", id)
				}
				if rapid.Bool().Draw(t, "runs") {
					ran[id] = true
					registry.Finish(id, "done")
				} else {
					registry.Release(id)
				}
			}
		}
	})
}

// A request with an id that this process can't know about must not run: the id of
// another host or an earlier incarnation, one that was not minted, or an expired one.
func TestForeignAndForgottenIDs(t *testing.T) {
	registry := Registry[string]{Host: "h", Incarnation: 3}
	ids, err := registry.Mint(1, 1)
	assert.NilError(t, err)
	for _, c := range []struct {
		id   ID
		want Verdict
	}{
		{ID{"other", 3, 1}, Foreign},
		{ID{"h", 2, 1}, Unknown},
		{ID{"h", 3, 99}, NeverMinted},
	} {
		got, _ := registry.Begin(1, c.id, testHash)
		assert.Equal(t, got, c.want)
	}
	got, _ := registry.Begin(2+Lifetime, ids[0], testHash) // minted at 1, expired for 1 ms
	assert.Equal(t, got, Unknown)
}

// Parse must accept only the text that String returns. Whoever compares ids as text would
// take a second spelling of an id (h.01.1 for h.1.1) for another id.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"host-1.abc.1", "", "..", "h.1.", "a.b.c.d", "h.01.1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		id, err := Parse(s)
		if err == nil && id.String() != s {
			t.Fatalf("%q reads as %q", s, id)
		}
	})
}
