package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// testProcess sends heartbeats to replicas; it is a replica itself or a sidecar.
type testProcess struct {
	addr     string
	replica  *Replica
	table    ReplicaTable
	encoders map[string]HeartbeatEncoder
}

func (p *testProcess) fullHeartbeat() Heartbeat {
	return Heartbeat{Replica: p.replica, KnownReplicas: p.table.All(), TableDigest: p.table.Digest(p.replica)}
}

// delivery is how far a heartbeat and its response get.
type delivery int

const (
	heartbeatLost delivery = iota
	responseLost
	delivered
)

// sendHeartbeat sends a heartbeat to another process and returns what was sent and responded,
// whether it arrived or not.
func (p *testProcess) sendHeartbeat(o *testProcess, now time.Time, d delivery) (sent, response Heartbeat) {
	sent = p.encoders[o.addr].Encode(p.fullHeartbeat(), false)
	sent.KnownDigest = p.table.DigestAt(o.addr)
	if d == heartbeatLost {
		return sent, response
	}
	response = o.table.Respond(sent, o.replica, o.table.Digest(o.replica))
	o.table, _ = o.table.ObserveHeartbeat(sent, now)
	if d == responseLost {
		return sent, response
	}
	next, resend := p.encoders[o.addr].Acknowledge(sent, response)
	p.encoders[o.addr] = next
	p.table, _ = p.table.ObserveHeartbeat(response, now)
	if resend {
		p.sendHeartbeat(o, now, delivered)
	}
	return sent, response
}

// Replicas and sidecars that send differences converge, through lost messages, restarts and
// changes of members: all replicas are live, each with its newest status. From then on neither a
// status nor the known replicas are sent any more.
func TestHeartbeatsConverge(t *testing.T) {
	base := time.Now()
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		now := time.Duration(0)
		var all []*testProcess
		accepted := uint64(1)
		restart := func(p *testProcess) { p.table, p.encoders = ReplicaTable{}, map[string]HeartbeatEncoder{} }
		const replicas = 3
		for i := range 6 {
			p := &testProcess{addr: fmt.Sprint("side-", i)}
			if i < replicas {
				p.addr = fmt.Sprint("replica-", i)
				s := Replica{MemberID: i + 1, MemberCount: replicas, Addr: p.addr, MemberIncarnation: 1, Incarnation: rng.Uint64(), Established: true, Members: []int{1, 2, 3}, AcceptedRevision: accepted, CommittedRevision: accepted}.WithDigest()
				p.replica = &s
			}
			restart(p)
			all = append(all, p)
		}
		update := func(c *testProcess, change func(s *Replica)) {
			s := *c.replica
			change(&s)
			s = s.WithDigest()
			c.replica = &s
		}
		round := func(lossy bool) (messages []Heartbeat) {
			now += HeartbeatInterval
			for _, p := range all {
				for _, o := range all[:replicas] {
					if p == o {
						continue
					}
					d := delivered
					if lossy {
						d = min(delivered, delivery(rng.IntN(8)))
					}
					if p.replica != nil {
						update(p, func(s *Replica) { s.WallClock = base.Add(now).UnixNano() })
					}
					a, b := p.sendHeartbeat(o, base.Add(now), d)
					messages = append(messages, a, b)
				}
			}
			return messages
		}
		for range 60 {
			p := all[rng.IntN(len(all))]
			switch rng.IntN(6) {
			case 0:
				if restart(p); p.replica != nil {
					update(p, func(s *Replica) { s.Incarnation = rng.Uint64(); s.MemberIncarnation += rng.Uint64N(2) })
				}
			case 1:
				if p.replica != nil { // a new control state is accepted; its members may be others
					accepted++
					members := [][]int{{1, 2, 3}, {1, 2, 3, 4}}[rng.IntN(2)]
					update(p, func(s *Replica) {
						s.AcceptedRevision, s.Members, s.MemberCount, s.PreviousMembers = accepted, members, len(members), []int{1, 2, 3}
					})
				}
			}
			round(true)
		}
		accepted++
		for _, c := range all[:replicas] {
			update(c, func(s *Replica) {
				s.AcceptedRevision, s.CommittedRevision, s.Members, s.MemberCount, s.PreviousMembers = accepted, accepted, []int{1, 2, 3}, 3, nil
			})
		}
		for range 3 {
			round(false)
		}
		for i, h := range round(false) {
			if h.Replica != nil || len(h.KnownReplicas) > 0 || h.RequestFull {
				t.Fatalf("seed %d: message %d still sends a status: %+v", seed, i, h)
			}
		}
		for _, p := range all {
			for _, c := range all[:replicas] {
				if p == c {
					continue
				}
				s, ok := p.table.Member(c.replica.MemberID)
				if s.WallClock = c.replica.WallClock; !ok || cmp.Diff(s, *c.replica) != "" {
					t.Fatalf("seed %d: %s knows %+v of %+v", seed, p.addr, s, *c.replica)
				}
			}
			want := replicas
			if p.replica != nil {
				want--
			}
			if live := p.table.Live(base.Add(now)); len(live) != want {
				t.Fatalf("seed %d: for %s %d replicas are live", seed, p.addr, len(live))
			}
			if wall := p.table.MedianClock(base.Add(now), 9, base.Add(now)); p.replica != nil && wall.Sub(base.Add(now)).Abs() > time.Millisecond {
				t.Fatalf("seed %d: for %s the time is %v", seed, p.addr, wall)
			}
		}
	}
}
