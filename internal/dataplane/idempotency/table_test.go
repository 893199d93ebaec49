package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Against a plain model, under pressure of count and bytes: nothing claimed runs
// again before its time, and a repeat gets the first one's response or is told that
// it is gone.
func TestTable(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		table := NewTable(func(n int) int { return n })
		type model struct {
			response int
			at       time.Duration
			done     bool
		}
		known := map[Key]*model{}
		var now time.Duration
		firsts, repeats, gone := 0, 0, 0
		for range 4000 {
			now += time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
			key := Key{Text: fmt.Sprint(rng.IntN(400))}
			m := known[key]
			if m != nil && m.done && now-m.at > Retention {
				m = nil
			}
			told := false
			table.Reserve(key, Fingerprint{}, now, func(a Result[int]) {
				told = true
				switch {
				case a.Decision == Proceed && m == nil:
					firsts++
					known[key] = &model{}
				case a.Decision == Replay && !a.Retry && m != nil && a.Response == known[key].response:
					repeats++
				case a.Decision == ResponseEvicted && m != nil && m.done:
					gone++
				case a.Retry:
				default:
					t.Fatalf("seed %d: %+v of %+v", seed, a, m)
				}
			})
			if waits := m != nil && !m.done; told == waits {
				t.Fatalf("seed %d: told at once %v, of %+v", seed, told, m)
			}
			if m := known[key]; m != nil && !m.done && rng.IntN(3) > 0 {
				m.response = rng.IntN(maxResponseBytes / 20)
				keep := rng.IntN(4) > 0
				if m.done, m.at = keep, now; !keep {
					delete(known, key)
				}
				table.Complete(key, m.response, keep, now)
			}
			if table.responseBytes > maxResponseBytes || table.responseBytes < 0 {
				t.Fatalf("seed %d: %d bytes are kept", seed, table.responseBytes)
			}
		}
		if firsts == 0 || repeats == 0 || gone == 0 {
			t.Errorf("seed %d: %d first, %d repeats, %d gone", seed, firsts, repeats, gone)
		}
	}
	full := NewTable(func(int) int { return 0 })
	for i := range maxReservations + 1 {
		full.Reserve(Key{Text: fmt.Sprint(i)}, Fingerprint{}, 0, func(a Result[int]) {
			if (a.Decision == TableFull) != (i == maxReservations) {
				t.Fatalf("claim %d: %v", i, a.Decision)
			}
		})
	}
}
