package watch

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"curlewwalk/internal/config"
	"curlewwalk/internal/membership"
)

// configured is a word with 60 routes, of which one depends on its stamp.
func configured(stamp uint64) config.Word {
	var b strings.Builder
	for i := range uint64(60) {
		n := uint64(0)
		if i == stamp%60 {
			n = stamp
		}
		fmt.Fprintf(&b, `{"name":"route-%d","host":"h%d.example","prefix":"/p%d/","service":"svc-%d","legs":%d},`, i, i%7, i*i, i%3, n)
	}
	return config.Word{Stamp: stamp, DesiredStamp: stamp, Desired: []byte(b.String()), Sent: []byte("what the operator sent")}
}

// told is news as it comes over the wire, and its bytes.
func told(t *testing.T, f *Feed, q Follow) (n News, size int) {
	t.Helper()
	sent, _ := f.Since(q)
	b, err := msgpack.Marshal(sent)
	if err != nil || msgpack.Unmarshal(b, &n) != nil {
		t.Fatal("news do not pass the wire")
	}
	return n, len(b)
}

// reader is a follower's share: what it holds, where it is, and what it put in force.
type reader struct {
	Holding
	place Follow
	copy  *Copy
	word  config.Word
}

func (r *reader) take(t *testing.T, f *Feed) (size int, read bool) {
	t.Helper()
	n, size := told(t, f, r.Asks(r.place))
	if !r.Read(&n) {
		return size, false
	}
	r.place = Follow{Feed: n.Feed, Place: n.Place}
	if w, _ := r.copy.Take(n); w != nil {
		r.word = *w
	}
	return size, true
}

// A change of one route costs a follower a small part of its configuration, also where it
// comes to another core; the same configuration again costs nothing of it.
func TestBytesOfAChange(t *testing.T) {
	cores, r := []*Feed{New(1, 0), New(100, 0)}, reader{copy: NewCopy()}
	whole := len(configured(1).Desired)
	for s := uint64(1); s <= 200; s++ {
		for _, f := range cores {
			f.Settled(configured(s))
		}
		at := cores[s/50%2]
		moved := s%50 == 0
		if moved {
			r.place = Follow{}
		}
		size, read := r.take(t, at)
		if !read || !bytes.Equal(r.word.Desired, configured(s).Desired) || r.word.Stamp != s {
			t.Fatalf("stamp %d: read %v, holds stamp %d", s, read, r.word.Stamp)
		}
		if s > 1 && size > whole/10 {
			t.Fatalf("stamp %d: %d bytes of a configuration of %d", s, size, whole)
		}
	}
	for _, f := range cores {
		r.place = Follow{}
		if size, _ := r.take(t, f); size > 100 {
			t.Errorf("%d bytes where nothing is new", size)
		}
	}
}

// Whatever a follower holds, older, newer, of another core or altered, it ends up with
// what its core has, after one more question at the most, and never holds anything else
// than a core told. One of an older version is told configurations whole.
func TestHolding(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	patched, refused := 0, 0
	for range 300 {
		cores := []*Feed{New(rng.Uint64(), 0), New(rng.Uint64(), 0)}
		r := reader{copy: NewCopy()}
		for s := uint64(1); s < 40; s++ {
			f := cores[rng.IntN(2)]
			f.Settled(configured(s))
			if rng.IntN(4) == 0 {
				f.Told(membership.Node{Addr: "node", Rev: s}, 0)
			}
			if rng.IntN(3) == 0 {
				f = cores[rng.IntN(2)]
				r.place = Follow{}
			}
			if f.Word() == nil {
				continue
			}
			q := r.Asks(r.place)
			n, _ := told(t, f, q)
			for i := range n.Items {
				if p := n.Items[i].Patch; p != nil {
					patched++
					if rng.IntN(3) == 0 && len(p.Difference) > 0 {
						p.Difference[rng.IntN(len(p.Difference))]++
						if altered := r.Holding; altered.Read(&n) {
							t.Fatal("a difference that was altered was read")
						}
						refused++
					}
				}
			}
			if _, read := r.take(t, f); !read {
				t.Fatal("news were not read")
			}
			if w := f.Word(); r.word.Stamp < w.Stamp {
				t.Fatalf("core at stamp %d, follower at %d", w.Stamp, r.word.Stamp)
			}
			if !bytes.Equal(r.word.Desired, configured(r.word.Stamp).Desired) {
				t.Fatalf("something else is in force as stamp %d", r.word.Stamp)
			}
		}
		old, _ := told(t, cores[0], Follow{})
		for _, it := range old.Items {
			if it.Patch != nil {
				t.Fatal("a follower of an older version was told a difference")
			}
		}
	}
	if patched == 0 || refused == 0 {
		t.Errorf("%d differences, %d of them altered", patched, refused)
	}
}

// A difference that a follower can't use takes nothing in force, and the next is whole.
func TestUnreadable(t *testing.T) {
	f, r := New(1, 0), reader{copy: NewCopy()}
	f.Settled(configured(1))
	r.take(t, f)
	f.Settled(configured(2))
	n, _ := told(t, f, r.Asks(r.place))
	n.Items[0].Patch.Difference[0]++
	if r.Read(&n) {
		t.Fatal("it was read")
	}
	if q := r.Asks(r.place); q.Has != nil {
		t.Error("it is told a difference again")
	}
	if _, read := r.take(t, f); !read || r.word.Stamp != 2 {
		t.Errorf("then read %v, stamp %d", read, r.word.Stamp)
	}
}
