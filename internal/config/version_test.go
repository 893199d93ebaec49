package config

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// sampleState returns a control state with a number of routes, one of which depends on the
// revision.
func sampleState(revision uint64, routes int) ControlState {
	var b strings.Builder
	for i := range routes {
		n := uint64(0)
		if i == int(revision)%routes {
			n = revision
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return ControlState{
		Revision: revision, ConfigurationRevision: revision, Configuration: []byte(b.String()), Submitted: []byte(b.String()),
		EvacuatedByOperator: []string{"west"}, Members: []Member{{MemberID: 1, DiskID: 7}},
	}
}

func mustVersion(t *testing.T, state ControlState) Version {
	t.Helper()
	v, err := NewVersion(state)
	if err != nil {
		t.Fatal(err)
	}
	return v
}

// A patch applies only to its base. Applying it to another version, or applying a truncated or
// altered patch, fails.
func TestPatch(t *testing.T) {
	one, two, three := mustVersion(t, sampleState(1, 40)), mustVersion(t, sampleState(2, 40)), mustVersion(t, sampleState(3, 40))
	p, worthwhile := two.DiffFrom(one)
	if !worthwhile || len(p.Delta) > two.Size()/20 {
		t.Fatalf("got a patch of %d bytes for one change in %d bytes", len(p.Delta), two.Size())
	}
	got, ok := one.Apply(p)
	var state ControlState
	if !ok || got.Decode(&state) != nil {
		t.Fatal("applying the patch to its base failed")
	}
	if d := cmp.Diff(sampleState(2, 40), state); d != "" {
		t.Error(d)
	}
	for name, base := range map[string]Version{"the zero": {}, "the result": two, "a later": three} {
		if _, ok := base.Apply(p); ok {
			t.Errorf("the patch was applied to %s version", name)
		}
	}
	for i := range p.Delta {
		cut, altered := p, p
		cut.Delta = p.Delta[:i]
		altered.Delta = bytes.Clone(p.Delta)
		altered.Delta[i]++
		if _, ok := one.Apply(cut); ok {
			t.Errorf("a patch truncated to %d bytes was applied", i)
		}
		if _, ok := one.Apply(altered); ok {
			t.Errorf("a patch with byte %d altered was applied", i)
		}
	}
	if p, worthwhile := two.DiffFrom(two); !worthwhile || p.Delta != nil {
		t.Errorf("got a patch of %d bytes between equal versions, want an empty one", len(p.Delta))
	}
	other := mustVersion(t, ControlState{Revision: 9, Configuration: []byte("something else")})
	if _, worthwhile := other.DiffFrom(one); worthwhile {
		t.Error("got worthwhile for a patch as long as the document")
	}
}

// A history keeps the newest versions within its bounds on number and size, and makes patches only
// from versions that it keeps.
func TestVersionHistory(t *testing.T) {
	for _, routes := range []int{1, 2000, 9000} {
		var kept VersionHistory
		var all []Version
		for s := range uint64(20) {
			all = append(all, mustVersion(t, sampleState(s+1, routes)))
			kept.Add(all[s])
			kept.Add(all[s])
		}
		n, size := len(kept.versions), 0
		for _, v := range kept.versions {
			size += v.Size()
		}
		if n < minVersions || n > maxVersions || n > minVersions && size > maxHistoryBytes {
			t.Errorf("%d routes: got %d versions with a total of %d bytes", routes, n, size)
		}
		newest, before, oldest := all[19], all[18], all[0]
		for range 2 { // the second result comes from the cache
			p, worthwhile := kept.PatchFrom(newest, before.Fingerprint)
			if want, _ := newest.DiffFrom(before); worthwhile != (len(p.Delta) <= newest.Size()/2) || cmp.Diff(want, p) != "" {
				t.Errorf("%d routes: got a patch of %d bytes, worthwhile %v", routes, len(p.Delta), worthwhile)
			}
			if got, ok := kept.Apply(p); !ok || got.Fingerprint != newest.Fingerprint {
				t.Errorf("%d routes: applying the patch failed", routes)
			}
		}
		if _, ok := kept.PatchFrom(newest, oldest.Fingerprint); ok {
			t.Errorf("%d routes: got a patch from a version that is not kept", routes)
		}
		if !slices.EqualFunc(kept.versions, all[20-n:], func(a, b Version) bool { return a.Fingerprint == b.Fingerprint }) {
			t.Errorf("%d routes: the kept versions are not the newest", routes)
		}
	}
}
