package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testProcess is a process that heartbeats cores; a core has a seat.
type testProcess struct {
	addr     string
	replica  *Replica
	table    ReplicaTable
	encoders map[string]HeartbeatEncoder
}

func (p *testProcess) fullHeartbeat() Heartbeat {
	return Heartbeat{Replica: p.replica, KnownReplicas: p.table.All(), TableDigest: p.table.Digest(p.replica)}
}

// sendHeartbeat has one call made: the heartbeat or its response may be lost. It returns what was
// told and answered.
func (p *testProcess) sendHeartbeat(o *testProcess, now time.Time, lost int) (sent, response Heartbeat) {
	sent = p.encoders[o.addr].Encode(p.fullHeartbeat(), false)
	sent.KnownDigest = p.table.DigestAt(o.addr)
	if lost == 0 {
		return sent, response
	}
	response = o.table.Respond(sent, o.replica, o.table.Digest(o.replica))
	o.table, _ = o.table.ObserveHeartbeat(sent, now)
	if lost == 1 {
		return sent, response
	}
	next, resend := p.encoders[o.addr].Acknowledge(sent, response)
	p.encoders[o.addr] = next
	p.table, _ = p.table.ObserveHeartbeat(response, now)
	if resend {
		p.sendHeartbeat(o, now, 2)
	}
	return sent, response
}

// Cores and sidecars that tell differences, through losses, starts anew, new seats and
// sets, come to know the same: all cores live, each in its newest seat; and then
// neither seats nor whom one knows are told any more.
func TestHeartbeatsConverge(t *testing.T) {
	base := time.Now()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		now := time.Duration(0)
		var all []*testProcess
		accepted := uint64(1)
		fresh := func(p *testProcess) { p.table, p.encoders = ReplicaTable{}, map[string]HeartbeatEncoder{} }
		const cores = 3
		for i := range 6 {
			p := &testProcess{addr: fmt.Sprint("side-", i)}
			if i < cores {
				p.addr = fmt.Sprint("core-", i)
				s := Replica{MemberID: i + 1, MemberCount: cores, Addr: p.addr, MemberIncarnation: 1, Incarnation: rng.Uint64(), Established: true, Members: []int{1, 2, 3}, AcceptedRevision: accepted, CommittedRevision: accepted}.WithDigest()
				p.replica = &s
			}
			fresh(p)
			all = append(all, p)
		}
		word := func(c *testProcess, change func(s *Replica)) {
			s := *c.replica
			change(&s)
			s = s.WithDigest()
			c.replica = &s
		}
		beat := func(lossy bool) (told []Heartbeat) {
			now += HeartbeatInterval
			for _, p := range all {
				for _, o := range all[:cores] {
					if p == o {
						continue
					}
					lost := 2
					if lossy {
						lost = min(2, rng.IntN(8))
					}
					if p.replica != nil {
						word(p, func(s *Replica) { s.WallClock = base.Add(now).UnixNano() })
					}
					a, b := p.sendHeartbeat(o, base.Add(now), lost)
					told = append(told, a, b)
				}
			}
			return told
		}
		for range 60 {
			p := all[rng.IntN(len(all))]
			switch rng.IntN(6) {
			case 0:
				if fresh(p); p.replica != nil {
					word(p, func(s *Replica) { s.Incarnation = rng.Uint64(); s.MemberIncarnation += rng.Uint64N(2) })
				}
			case 1:
				if p.replica != nil { // a new word is held, whose set may be another
					accepted++
					members := [][]int{{1, 2, 3}, {1, 2, 3, 4}}[rng.IntN(2)]
					word(p, func(s *Replica) {
						s.AcceptedRevision, s.Members, s.MemberCount, s.PreviousMembers = accepted, members, len(members), []int{1, 2, 3}
					})
				}
			}
			beat(true)
		}
		accepted++
		for _, c := range all[:cores] {
			word(c, func(s *Replica) {
				s.AcceptedRevision, s.CommittedRevision, s.Members, s.MemberCount, s.PreviousMembers = accepted, accepted, []int{1, 2, 3}, 3, nil
			})
		}
		for range 3 {
			beat(false)
		}
		for i, h := range beat(false) {
			if h.Replica != nil || len(h.KnownReplicas) > 0 || h.RequestFull {
				t.Fatalf("seed %d: still told, at %d: %+v", seed, i, h)
			}
		}
		for _, p := range all {
			for _, c := range all[:cores] {
				if p == c {
					continue
				}
				s, ok := p.table.Member(c.replica.MemberID)
				if s.WallClock = c.replica.WallClock; !ok || cmp.Diff(s, *c.replica) != "" {
					t.Fatalf("seed %d: %s has %+v of %+v", seed, p.addr, s, *c.replica)
				}
			}
			want := cores
			if p.replica != nil {
				want--
			}
			if live := p.table.Live(base.Add(now)); len(live) != want {
				t.Fatalf("seed %d: to %s %d cores live", seed, p.addr, len(live))
			}
			if wall := p.table.MedianClock(base.Add(now), 9, base.Add(now)); p.replica != nil && wall.Sub(base.Add(now)).Abs() > time.Millisecond {
				t.Fatalf("seed %d: to %s it is %v", seed, p.addr, wall)
			}
		}
	}
}
