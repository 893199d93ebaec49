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
var newcomer = config.Member{MemberID: 4, DiskID: 44, Addr: "10.0.0.4:7000"}

// history is a system of three founders, the first of which writes all orders and has a disk.
// A fourth core comes later.
type history struct {
	t         *testing.T
	disk      *StateStore
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
	h := &history{t: t, disk: &StateStore{Store: v}, acceptors: map[uint64]Acceptor{}}
	founders := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	own, err := h.disk.Load(Bootstrap{NewCluster: true, InitialMembers: founders, AdvertiseAddr: founders[0]})
	if err != nil {
		t.Fatal(err)
	}
	h.acceptors[own.Self.DiskID] = own
	for _, addr := range founders[1:] {
		acceptor := Bootstrap{NewCluster: true, InitialMembers: founders, AdvertiseAddr: addr}.InitialState(1)
		h.acceptors[acceptor.Self.DiskID] = acceptor
	}
	h.acceptors[newcomer.DiskID] = Bootstrap{AdvertiseAddr: newcomer.Addr}.InitialState(newcomer.DiskID)
	h.proposer.FollowAcceptor(own, 0)
	return h
}

// own is the core with the disk.
func (h *history) own() Acceptor { return h.acceptors[h.proposer.Self.DiskID] }

// write has an order carried out by all.
func (h *history) write(command Command) {
	h.t.Helper()
	h.orders++
	h.now += time.Second
	command.ID, command.Deadline = h.orders, h.now+time.Second
	h.known = false
	h.deliver(h.proposer.Enqueue(command, h.now))
	if !h.known {
		h.t.Fatalf("order %d, %s, has no answer", command.ID, command.Kind)
	}
}

// deliver brings ballots to whom they are for, and their votes back.
func (h *history) deliver(outcomes []Ready) {
	for _, ready := range outcomes {
		if ready.Result != nil {
			if ready.Result.Outcome != OutcomeCommitted {
				h.t.Fatalf("order %d: %s", ready.Result.ID, ready.Result.Outcome)
			}
			h.known = true
		}
		for _, m := range ready.To {
			next, reply := h.acceptors[m.DiskID].Step(*ready.Message)
			h.acceptors[m.DiskID] = next
			if m.DiskID == h.proposer.Self.DiskID {
				if err := h.disk.Save(next); err != nil {
					h.t.Fatal(err)
				}
				h.proposer.FollowAcceptor(next, h.now)
			}
			if reply := reply.FromMember(m); reply != nil && ready.Message.Type != MsgCommit {
				h.deliver(h.proposer.HandleReply(*reply, h.now))
			}
		}
	}
}

// live plays what the golden data folder comes from: many configurations, numbered and not,
// zones emptied and taken back, a calendar with a window that was waived, and a change
// of the members, which is finished.
func (h *history) live() {
	since := func() *uint64 { settled := h.own().Committed; return &settled }
	for n := range uint64(12) {
		text := fmt.Sprintf(`{"ways":[],"contracts":[{"name":"c%d","aim":"1s","expiry":"2s","rank":1}]}`, n)
		h.write(Command{Kind: CommandPutConfiguration, Generation: 10 + n, Payload: []byte(text), Submitted: []byte(fmt.Sprintf(`{"generation":%d}`, 10+n))})
	}
	for _, zone := range []string{"north", "south", "west"} {
		h.write(Command{Kind: CommandEvacuate, Zone: zone, SinceRevision: since()})
	}
	h.write(Command{Kind: CommandRevokeEvacuation, Zone: "south", SinceRevision: since()})
	h.write(Command{Kind: CommandPutCalendar, Payload: []byte("BEGIN:VCALENDAR\r\nEND:VCALENDAR\r\n")})
	h.write(Command{Kind: CommandBeginWindow, Zone: "east", Window: "w1@2026-12-02"})
	h.write(Command{Kind: CommandBeginWindow, Zone: "far", Window: "w2@2026-12-02"})
	h.write(Command{Kind: CommandRevokeEvacuation, Zone: "far", SinceRevision: since()})
	members := h.own().MemberSets().Current
	h.write(Command{Kind: CommandReconfigure, ExpectedMembers: members, Joining: newcomer, Leaving: 3})
	h.write(Command{Kind: CommandPutConfiguration, Generation: 30, Payload: []byte(`{"ways":[],"contracts":[]}`), Submitted: []byte(`{"generation":30}`)})
	h.write(Command{Kind: CommandEvacuate, Zone: "east", SinceRevision: since()})
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
	state := h.own().State
	if len(state.Members) != 3 || len(state.PreviousMembers) != 0 || state.HighestMemberID != 4 || len(state.AcceptedGenerations) < 10 || len(state.EvacuatedByOperator) != 3 || len(state.Closures) != 2 || len(state.Evacuations) < 5 || state.Generation != 30 {
		t.Errorf("the files hold less than they should: %+v", state)
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
	disk := &StateStore{Store: v}
	got, err := disk.Load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	want := lived.own()
	want.Committed, want.PromiseDirty, want.StateDirty = 0, false, false // these are not on disk
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if after := readFolder(t, dir); !cmp.Equal(before, after) {
		t.Error("opening the folder changed it: ", cmp.Diff(before, after))
	}

	newestWord := newest(before, kindState)
	newestOath := newest(before, kindPromise)
	got.PromiseDirty, got.StateDirty = true, true
	if err := disk.Save(got); err != nil {
		t.Fatal(err)
	}
	after := readFolder(t, dir)
	if name := newest(after, kindState); name != newestWord || after[name] != before[name] {
		t.Errorf("the configuration is written as %s, %q, not as %s, %q", name, after[name], newestWord, before[newestWord])
	}
	if name := newest(after, kindPromise); name <= newestOath || after[name] != before[newestOath] {
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
