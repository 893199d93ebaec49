package e2e

import (
	"syscall"
	"testing"

	"curlewwalk/tests/fleet"
)

// TestRollingRestart checks that restarts lose no request. Every process is restarted in turn under
// load. After each restart all processes reload their settings, and the configuration changes. Each
// accepted request must be answered, and none may get an unknown outcome before its deadline.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t, smallFleet())
	stop := startLoad(ctx, f)
	for i, p := range f.Programs() {
		if code := p.Stop(); code != 0 {
			t.Errorf("%s exited with code %d, want 0: %s", p.Name, code, p.Stderr())
		}
		must(t, p.Start())
		must(t, p.AwaitReady(ctx))
		for _, q := range f.Programs() {
			q.Signal(syscall.SIGHUP)
		}
		revision, err := f.PutConfiguration(ctx, i%3, f.Configuration())
		must(t, err)
		must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	}
	stop()
	if v := checkLedger(t, f); v.Interrupted > 0 || v.UnknownBeforeDeadline > 0 {
		t.Errorf("%d requests were interrupted, and %d had an unknown outcome before the deadline; want 0", v.Interrupted, v.UnknownBeforeDeadline)
	}
}

// earlierVersion turns the sources into a version without fields and messages that were added later.
// laterVersion adds fields that the present version does not know.
var (
	earlierVersion = []fleet.SourceChange{
		{File: "internal/dataplane/proxy/attempt.go", Old: "`msgpack:\"rk\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/dataplane/proxy/attempt.go", Old: "`msgpack:\"am\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/node.go", Old: "`msgpack:\"ac,omitempty\" json:\"accuses,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/node.go", Old: "`msgpack:\"bu,omitempty\" json:\"budgets,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"p,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"sm,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"w,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"hv,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"d,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"wh,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/heartbeat.go", Old: "`msgpack:\"su,omitempty\"`", New: "`msgpack:\"-\"`"},
		{File: "internal/membership/node.go", Old: "`msgpack:\"t,omitempty\" json:\"-\"`", New: "`msgpack:\"-\" json:\"-\"`"},
		{File: "internal/membership/replica.go", Old: "`msgpack:\"m,omitempty\" json:\"-\"`", New: "`msgpack:\"-\" json:\"-\"`"},
		{File: "internal/membership/replica.go", Old: "`msgpack:\"w,omitempty\" json:\"-\"`", New: "`msgpack:\"-\" json:\"-\"`"},
		{File: "internal/membership/gossiper.go", Old: "transport.ControlTraffic, KindGossip, req)", New: "transport.ControlTraffic, \"unheard-of\", req)"},
	}
	laterVersion = []fleet.SourceChange{
		{File: "internal/transport/hello.go", Old: "const ProtocolVersion = 1", New: "const ProtocolVersion = 2"},
		{File: "internal/dataplane/proxy/attempt.go", Old: "type Attempt struct {", New: "type Attempt struct {\n\tMood []string `msgpack:\"zz\"`"},
		{File: "internal/dataplane/proxy/attempt.go", Old: "type AttemptResponse struct {", New: "type AttemptResponse struct {\n\tMood map[string]int `msgpack:\"zz\"`"},
		{File: "internal/membership/node.go", Old: "type Node struct {", New: "type Node struct {\n\tMood string `msgpack:\"zz\"`"},
		{File: "internal/membership/heartbeat.go", Old: "type Heartbeat struct {", New: "type Heartbeat struct {\n\tMood float64 `msgpack:\"zz\"`"},
		{File: "internal/watch/updates.go", Old: "type Updates struct {", New: "type Updates struct {\n\tMood [3]int `msgpack:\"zz\"`"},
		{File: "internal/controlplane/consensus/message.go", Old: "type Message struct {", New: "type Message struct {\n\tMood *int `msgpack:\"zz\"`"},
		{File: "internal/dataplane/keyreplication/messages.go", Old: "type Record struct {", New: "type Record struct {\n\tMood bool `msgpack:\"zz\"`"},
	}
)

// TestRollingUpgrade checks that an upgrade under load drops no request. The processes change one
// after another from an earlier version to the present one. Every second process then changes to a
// later version. A configuration is put at each step. All versions must be able to communicate with
// each other.
func TestRollingUpgrade(t *testing.T) {
	t.Parallel()
	earlier, err := fleet.BuildWith("../..", earlierVersion)
	must(t, err)
	t.Cleanup(earlier.Remove)
	later, err := fleet.BuildWith("../..", laterVersion)
	must(t, err)
	t.Cleanup(later.Remove)
	f, ctx := newFleet(t, smallFleet())
	for _, p := range f.Programs() {
		p.UseBinaries(earlier)
	}
	must(t, f.Start(ctx))
	stop := startLoad(ctx, f)
	for i, p := range f.Programs() {
		for _, version := range []fleet.Binaries{binaries, later}[:1+i%2] {
			if code := p.Stop(); code != 0 {
				t.Errorf("%s exited with code %d, want 0: %s", p.Name, code, p.Stderr())
			}
			p.UseBinaries(version)
			must(t, p.Start())
			must(t, p.AwaitReady(ctx))
		}
		revision, err := f.PutConfiguration(ctx, i%3, f.Configuration())
		must(t, err)
		must(t, f.AwaitServing(ctx, revision, len(f.Size.Backends)))
	}
	stop()
	if v := checkLedger(t, f); v.Interrupted > 0 || v.UnknownBeforeDeadline > 0 {
		t.Errorf("%d requests were interrupted, and %d had an unknown outcome before the deadline; want 0", v.Interrupted, v.UnknownBeforeDeadline)
	}
}
