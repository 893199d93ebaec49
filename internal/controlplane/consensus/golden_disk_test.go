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

// goldenData is the directory of the golden data of a replica.
const goldenData = "data"

// replacement is the member that replaces the third initial member.
var replacement = config.Member{MemberID: 4, DiskID: 44, Addr: "10.0.0.4:7000"}

// history simulates a cluster of three initial members. The first member proposes all commands
// and has a disk. A fourth member joins later.
type history struct {
	t         *testing.T
	store     *stateStore
	now       time.Duration
	acceptors map[uint64]Acceptor // by disk ID
	proposer  Proposer
	lastID    uint64
	answered  bool
}

func newHistory(t *testing.T, dir string) *history {
	disk, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	h := &history{t: t, store: newStateStore(disk), acceptors: map[uint64]Acceptor{}}
	initialMembers := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	own, err := h.store.load(Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: initialMembers[0]})
	if err != nil {
		t.Fatal(err)
	}
	h.acceptors[own.Self.DiskID] = own
	for _, addr := range initialMembers[1:] {
		acceptor := Bootstrap{NewCluster: true, InitialMembers: initialMembers, AdvertiseAddr: addr}.InitialState(1)
		h.acceptors[acceptor.Self.DiskID] = acceptor
	}
	h.acceptors[replacement.DiskID] = Bootstrap{AdvertiseAddr: replacement.Addr}.InitialState(replacement.DiskID)
	h.proposer.FollowAcceptor(own, 0)
	return h
}

// own returns the acceptor that has the disk.
func (h *history) own() Acceptor { return h.acceptors[h.proposer.self.DiskID] }

// write executes a command with all members.
func (h *history) write(command Command) {
	h.t.Helper()
	h.lastID++
	h.now += time.Second
	command.ID, command.Deadline = h.lastID, h.now+time.Second
	h.answered = false
	h.deliver(h.proposer.Enqueue(command, h.now))
	if !h.answered {
		h.t.Fatalf("command %d of kind %s has no result", command.ID, command.Kind)
	}
}

// deliver sends messages to their members and passes the replies to the proposer.
func (h *history) deliver(items []Ready) {
	for _, item := range items {
		if item.Result != nil {
			if item.Result.Outcome != OutcomeCommitted {
				h.t.Fatalf("outcome of command %d = %s, want committed", item.Result.ID, item.Result.Outcome)
			}
			h.answered = true
		}
		for _, m := range item.To {
			next, reply := h.acceptors[m.DiskID].Step(*item.Message)
			h.acceptors[m.DiskID] = next
			if m.DiskID == h.proposer.self.DiskID {
				if err := h.store.save(next); err != nil {
					h.t.Fatal(err)
				}
				h.proposer.FollowAcceptor(next, h.now)
			}
			if reply := reply.FromMember(m); reply != nil && item.Message.Type != MsgCommit {
				h.deliver(h.proposer.HandleReply(*reply, h.now))
			}
		}
	}
}

// replay executes the commands that produce the golden data: several configurations with and
// without a generation, zones evacuated and revoked, a calendar with a waived window, and a
// reconfiguration, which is finalized.
func (h *history) replay() {
	since := func() *uint64 { committed := h.own().Committed; return &committed }
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
	h.write(Command{Kind: CommandReconfigure, ExpectedMembers: members, Joining: replacement, Leaving: 3})
	h.write(Command{Kind: CommandPutConfiguration, Generation: 30, Payload: []byte(`{"ways":[],"contracts":[]}`), Submitted: []byte(`{"generation":30}`)})
	h.write(Command{Kind: CommandEvacuate, Zone: "east", SinceRevision: since()})
}

// readDirectory returns the contents of all files of a directory by name.
func readDirectory(t *testing.T, dir string) map[string]string {
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

// The same commands produce the same files: names, headers, bodies, and checksums.
func TestGoldenDataIsWritten(t *testing.T) {
	dir := t.TempDir()
	h := newHistory(t, dir)
	h.replay()
	written := readDirectory(t, dir)
	for name, data := range written {
		golden.Check(t, goldenData+"/"+name, []byte(data))
	}
	if diff := cmp.Diff(readDirectory(t, golden.Path(goldenData)), written); diff != "" {
		t.Error(diff)
	}
	state := h.own().State
	if len(state.Members) != 3 || len(state.PreviousMembers) != 0 || state.HighestMemberID != 4 || len(state.AcceptedGenerations) < 10 || len(state.EvacuatedByOperator) != 3 || len(state.Closures) != 2 || len(state.Evacuations) < 5 || state.Generation != 30 {
		t.Errorf("final state = %+v, which lacks parts that the golden data must cover", state)
	}
}

// A data directory of an earlier version is loaded as the state that was written, and saving
// that state again produces the same bytes.
func TestGoldenDataIsRead(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(golden.Path(goldenData))); err != nil {
		t.Fatal(err)
	}
	before := readDirectory(t, dir)
	replayed := newHistory(t, t.TempDir())
	replayed.replay()

	disk, err := storage.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	store := newStateStore(disk)
	got, err := store.load(Bootstrap{})
	if err != nil {
		t.Fatal(err)
	}
	want := replayed.own()
	want.Committed, want.PromiseDirty, want.StateDirty = 0, false, false // not stored on disk
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
	if after := readDirectory(t, dir); !cmp.Equal(before, after) {
		t.Error("loading changed the directory (-before +after): ", cmp.Diff(before, after))
	}

	newestState := newest(before, kindState)
	newestPromise := newest(before, kindPromise)
	got.PromiseDirty, got.StateDirty = true, true
	if err := store.save(got); err != nil {
		t.Fatal(err)
	}
	after := readDirectory(t, dir)
	if name := newest(after, kindState); name != newestState || after[name] != before[name] {
		t.Errorf("control state saved as %s with %q, want %s with %q", name, after[name], newestState, before[newestState])
	}
	if name := newest(after, kindPromise); name <= newestPromise || after[name] != before[newestPromise] {
		t.Errorf("promise saved as %s with %q, want a name after %s and %q", name, after[name], newestPromise, before[newestPromise])
	}
}

// newest returns the name of the latest file of a kind.
func newest(files map[string]string, kind string) string {
	var names []string
	for name := range files {
		if len(name) > len(kind) && name[:len(kind)] == kind {
			names = append(names, name)
		}
	}
	return slices.Max(names)
}
