package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// testDocument returns a document that resembles a configuration with the given number of routes.
func testDocument(routes int) []byte {
	var b strings.Builder
	for i := range routes {
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":2},`, i, i%7, i*i, i%3)
	}
	return []byte(b.String())
}

// editDocument returns a copy of doc in which random runs are removed, inserted, overwritten, or
// copied to the end.
func editDocument(rng *rand.Rand, doc []byte, edits int) []byte {
	out := bytes.Clone(doc)
	for range edits {
		at := rng.IntN(len(out) + 1)
		end := min(len(out), at+rng.IntN(100))
		run := bytes.Clone(out[at:end])
		switch rng.IntN(4) {
		case 0:
			out = append(out[:at:at], out[end:]...)
		case 1:
			out = append(out[:at:at], append([]byte(fmt.Sprint("new", rng.Uint64())), out[at:]...)...)
		case 2:
			for i := range run {
				out[at+i] = byte(rng.IntN(256))
			}
		default:
			out = append(out, run...)
		}
	}
	return out
}

// For any base and target, applying their difference to the base yields the target.
func TestRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 2000 {
		base := testDocument(rng.IntN(30))
		if rng.IntN(10) == 0 {
			base = nil
		}
		target := editDocument(rng, base, rng.IntN(6))
		if rng.IntN(20) == 0 {
			target = nil
		}
		d := Diff(base, target)
		got, err := Apply(base, d)
		if err != nil || !bytes.Equal(got, target) {
			t.Fatalf("error %v: got %q from base %q and difference %q, want %q", err, got, base, d, target)
		}
	}
}

// The difference for a change of a few routes is about as long as the changed bytes, wherever the
// routes are in the document.
func TestDiffIsSmall(t *testing.T) {
	base := testDocument(60)
	target := bytes.Replace(base, []byte("h3.example"), []byte("other.example"), 3)
	target = append([]byte(`{"name":"added","host":"h","prefix":"/added/","service":"svc-9","legs":2},`), target...)
	d := Diff(base, target)
	if len(d) > 200 {
		t.Errorf("got a difference of %d bytes for a small change in %d bytes, want at most 200", len(d), len(target))
	}
	if d := Diff(base, base); len(d) > 5 {
		t.Errorf("got a difference of %d bytes for equal documents, want at most 5", len(d))
	}
}

// FuzzApply checks that Apply of a truncated or altered difference returns bounded output or an
// error and never panics, and that any target survives a round trip.
func FuzzApply(f *testing.F) {
	base := testDocument(20)
	d := Diff(base, editDocument(rand.New(rand.NewPCG(3, 4)), base, 4))
	f.Add(base, d)
	f.Add([]byte{}, []byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Add(base, []byte{opCopy | 20, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	for i := range d {
		f.Add(base, d[:i])
	}
	f.Fuzz(func(t *testing.T, base, difference []byte) {
		if got, err := Apply(base, difference); err == nil && len(got) > maxOutput {
			t.Errorf("got %d bytes from a difference of %d bytes, want at most maxOutput", len(got), len(difference))
		}
		if got, err := Apply(base, Diff(base, difference)); err != nil || !bytes.Equal(got, difference) {
			t.Errorf("round trip: error %v, got %q", err, got)
		}
	})
}

func BenchmarkDiff(b *testing.B) {
	base := testDocument(120)
	target := append(bytes.Replace(base, []byte("h3.example"), []byte("other.example"), 1), []byte(`{"name":"added"}`)...)
	for b.Loop() {
		Diff(base, target)
	}
}
