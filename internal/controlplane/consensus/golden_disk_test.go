package consensus

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"curlewwalk/internal/config"
	"curlewwalk/internal/storage"
	"curlewwalk/tests/golden"
)

// goldenData is the golden data folder of a core.
const goldenData = "data"

// newcomer is who takes the place of the third founder.
var newcomer = config.Member{Slot: 4, ID: 44, Addr: "10.0.0.4:7000"}

// history is a system of three founders, the first of which writes all orders and has a disk.
// A fourth core comes later.
type history struct {
	t         *testing.T
	disk      *Disk
	now       time.Duration
	acceptors map[uint64]Acceptor // by identity
	proposer  Proposer
	orders    uint64
	known     bool
}

func newHistory(t *testing.T, dir string) *history {
	v, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	h := &history{t: t, disk: &Disk{Vault: v}, acceptors: map[uint64]Acceptor{}}
	founders := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	own, err := h.disk.Load(Start{First: true, Founders: founders, Addr: founders[0]})
	if err != nil {
		t.Fatal(err)
	}
	h.acceptors[own.Self.ID] = own
	for _, addr := range founders[1:] {
		v := Start{First: true, Founders: founders, Addr: addr}.Empty(1)
		h.acceptors[v.Self.ID] = v
	}
	h.acceptors[newcomer.ID] = Start{Addr: newcomer.Addr}.Empty(newcomer.ID)
	h.proposer.Follow(own, 0)
	return h
}

// own is the core with the disk.
func (h *history) own() Acceptor { return h.acceptors[h.proposer.Self.ID] }

// write has an order carried out by all.
func (h *history) write(o Order) {
	h.t.Helper()
	h.orders++
	h.now += time.Second
	o.ID, o.Until = h.orders, h.now+time.Second
	h.known = false
	h.deliver(h.proposer.Take(o, h.now))
	if !h.known {
		h.t.Fatalf("order %d, %s, has no answer", o.ID, o.Kind)
	}
}

// deliver brings ballots to whom they are for, and their votes back.
func (h *history) deliver(outcomes []Outcome) {
	for _, o := range outcomes {
		if o.Answer != nil {
			if o.Answer.Result != Taken {
				h.t.Fatalf("order %d: %s", o.Answer.ID, o.Answer.Result)
			}
			h.known = true
		}
		for _, m := range o.To {
			next, vote := h.acceptors[m.ID].On(*o.Ballot)
			h.acceptors[m.ID] = next
			if m.ID == h.proposer.Self.ID {
				if err := h.disk.Save(next); err != nil {
					h.t.Fatal(err)
				}
				h.proposer.Follow(next, h.now)
			}
			if v := vote.By(m); v != nil && o.Ballot.Act != Settle {
				h.deliver(h.proposer.Hear(*v, h.now))
			}
		}
	}
}

// live plays what the golden data folder comes from: many configurations, numbered and not,
// zones emptied and taken back, a calendar with a window that was waived, and a change
// of the members, which is finished.
func (h *history) live() {
	since := func() *uint64 { settled := h.own().Settled; return &settled }
	for n := range uint64(12) {
		text := fmt.Sprintf(`{"ways":[],"contracts":[{"name":"c%d","aim":"1s","expiry":"2s","rank":1}]}`, n)
		h.write(Order{Kind: Put, Generation: 10 + n, Bytes: []byte(text), Sent: []byte(fmt.Sprintf(`{"generation":%d}`, 10+n))})
	}
	for _, zone := range []string{"north", "south", "west"} {
		h.write(Order{Kind: Empty, Zone: zone, Since: since()})
	}
	h.write(Order{Kind: TakeBack, Zone: "south", Since: since()})
	h.write(Order{Kind: Calendar, Bytes: []byte("BEGIN:VCALENDAR\r\nEND:VCALENDAR\r\n")})
	h.write(Order{Kind: Begin, Zone: "east", Window: "w1@2026-12-02"})
	h.write(Order{Kind: Begin, Zone: "far", Window: "w2@2026-12-02"})
	h.write(Order{Kind: TakeBack, Zone: "far", Since: since()})
	set := h.own().Sets().Now
	h.write(Order{Kind: Reseat, Of: set, Seat: newcomer, Out: 3})
	h.write(Order{Kind: Put, Generation: 30, Bytes: []byte(`{"ways":[],"contracts":[]}`), Sent: []byte(`{"generation":30}`)})
	h.write(Order{Kind: Empty, Zone: "east", Since: since()})
}

// readFolder reads all files of a folder.
func readFolder(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]string{}
	for _, e := range entries {
		b, err := os.ReadFile(dir + "/" + e.Name())
		if err != nil {
			t.Fatal(err)
		}
		out[e.Name()] = string(b)
	}
	return out
}

// The same life leaves the same files: names, heads, bodies and checksums.
func TestGoldenDataIsWritten(t *testing.T) {
	dir := t.TempDir()
	h := newHistory(t, dir)
	h.live()
	written := readFolder(t, dir)
	for name, data := range written {
		golden.Check(t, goldenData+"/"+name, []byte(data))
	}
	if diff := cmp.Diff(readFolder(t, golden.Path(goldenData)), written); diff != "" {
		t.Error(diff)
	}
	w := h.own().Word
	if len(w.Slots) != 3 || len(w.Formerly) != 0 || w.Top != 4 || len(w.Taken) < 10 || len(w.Emptied) != 3 || len(w.Closures) != 2 || len(w.Evacuations) < 5 || w.Generation != 30 {
		t.Errorf("the files hold less than they should: %+v", w)
	}
}

// A data folder of an earlier version opens as the state that was written, and what is
// saved of that state is the same bytes.
func TestGoldenDataIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(golden.Path(goldenData))); err != nil {
		t.Fatal(err)
	}
	before := readFolder(t, dir)
	lived := newHistory(t, t.TempDir())
	lived.live()

	v, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	disk := &Disk{Vault: v}
	got, err := disk.Load(Start{})
	if err != nil {
		t.Fatal(err)
	}
	want := lived.own()
	want.Settled, want.OathDirty, want.WordDirty = 0, false, false // these are not on disk
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if after := readFolder(t, dir); !cmp.Equal(before, after) {
		t.Error("opening the folder changed it: ", cmp.Diff(before, after))
	}

	newestWord := newest(before, kindWord)
	newestOath := newest(before, kindOath)
	got.OathDirty, got.WordDirty = true, true
	if err := disk.Save(got); err != nil {
		t.Fatal(err)
	}
	after := readFolder(t, dir)
	if name := newest(after, kindWord); name != newestWord || after[name] != before[name] {
		t.Errorf("the configuration is written as %s, %q, not as %s, %q", name, after[name], newestWord, before[newestWord])
	}
	if name := newest(after, kindOath); name <= newestOath || after[name] != before[newestOath] {
		t.Errorf("the promise is written as %s, %q, not as after %s, %q", name, after[name], newestOath, before[newestOath])
	}
}

// newest is the name of the newest file of a kind.
func newest(files map[string]string, kind string) string {
	var names []string
	for name := range files {
		if len(name) > len(kind) && name[:len(kind)] == kind {
			names = append(names, name)
		}
	}
	return slices.Max(names)
}
