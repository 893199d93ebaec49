package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// wordOf is a word of a stamp with so many routes, of which one depends on the stamp.
func wordOf(stamp uint64, routes int) Word {
	var b strings.Builder
	for i := range routes {
		n := uint64(0)
		if i == int(stamp)%routes {
			n = stamp
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return Word{Stamp: stamp, DesiredStamp: stamp, Desired: []byte(b.String()), Sent: []byte(b.String()), Emptied: []string{"west"}, Slots: []Member{{Slot: 1, ID: 7}}}
}

func versionOf(t *testing.T, w Word) Version {
	t.Helper()
	v, err := NewVersion(w)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// A patch makes its result of its base only: of any other version, altered or cut, it
// makes nothing, and never a part.
func TestPatch(t *testing.T) {
	one, two, three := versionOf(t, wordOf(1, 40)), versionOf(t, wordOf(2, 40)), versionOf(t, wordOf(3, 40))
	p, short := two.Against(one)
	if !short || len(p.Difference) > two.Size()/20 {
		t.Fatalf("%d bytes tell one change of %d", len(p.Difference), two.Size())
	}
	got, ok := one.Apply(p)
	var w Word
	if !ok || got.Into(&w) != nil {
		t.Fatal("the base does not take the patch")
	}
	if d := cmp.Diff(wordOf(2, 40), w); d != "" {
		t.Error(d)
	}
	for name, base := range map[string]Version{"an older": {}, "the result": two, "a later": three} {
		if _, ok := base.Apply(p); ok {
			t.Errorf("%s version takes the patch", name)
		}
	}
	for i := range p.Difference {
		cut, altered := p, p
		cut.Difference = p.Difference[:i]
		altered.Difference = bytes.Clone(p.Difference)
		altered.Difference[i]++
		if _, ok := one.Apply(cut); ok {
			t.Errorf("cut to %d bytes, it was taken", i)
		}
		if _, ok := one.Apply(altered); ok {
			t.Errorf("altered at byte %d, it was taken", i)
		}
	}
	if p, short := two.Against(two); !short || p.Difference != nil {
		t.Errorf("%d bytes tell nothing", len(p.Difference))
	}
	other := versionOf(t, Word{Stamp: 9, Desired: []byte("something else")})
	if _, short := other.Against(one); short {
		t.Error("a difference as long as the whole was told")
	}
}

// The newest versions are kept, and no more than their bound.
func TestVersions(t *testing.T) {
	for _, routes := range []int{1, 2000, 9000} {
		var kept Versions
		var all []Version
		for s := range uint64(20) {
			all = append(all, versionOf(t, wordOf(s+1, routes)))
			kept.Add(all[s])
			kept.Add(all[s])
		}
		n, size := len(kept.list), 0
		for _, v := range kept.list {
			size += v.Size()
		}
		if n < 2 || n > keptVersions || n > 2 && size > keptBytes {
			t.Errorf("%d routes: %d versions of %d bytes are kept", routes, n, size)
		}
		newest, before, oldest := all[19], all[18], all[0]
		for range 2 { // the second time it is remembered
			p, short := kept.Tell(newest, before.Fingerprint)
			if want, _ := newest.Against(before); short != (len(p.Difference) <= newest.Size()/2) || cmp.Diff(want, p) != "" {
				t.Errorf("%d routes: told %d bytes, short %v", routes, len(p.Difference), short)
			}
			if got, ok := kept.Apply(p); !ok || got.Fingerprint != newest.Fingerprint {
				t.Errorf("%d routes: what was told is not taken", routes)
			}
		}
		if _, ok := kept.Tell(newest, oldest.Fingerprint); ok {
			t.Errorf("%d routes: told by one that is not kept", routes)
		}
		if !slices.EqualFunc(kept.list, all[20-n:], func(a, b Version) bool { return a.Fingerprint == b.Fingerprint }) {
			t.Errorf("%d routes: not the newest are kept", routes)
		}
	}
}
