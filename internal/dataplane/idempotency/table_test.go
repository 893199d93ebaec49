package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// reservationModel is the expected state of one reservation.
type reservationModel struct {
	response    int
	completedAt time.Duration
	completed   bool
}

// decisionCounts counts the decisions that a test run has produced.
type decisionCounts struct{ proceed, replay, evicted int }

// TestTable compares a table with a simple model under random operations that exhaust the
// bound on stored response bytes. A request whose key is reserved must not be executed again
// before the retention has passed. A replay must get the response to the first request, or
// the decision ResponseEvicted.
func TestTable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			counts := compareWithModel(t, rand.New(rand.NewPCG(seed, 1)))
			if counts.proceed == 0 || counts.replay == 0 || counts.evicted == 0 {
				t.Errorf("got decisions %+v, want at least one of each kind", counts)
			}
		})
	}
}

// compareWithModel executes random operations on a table and on a model of the table.
func compareWithModel(t *testing.T, rng *rand.Rand) (counts decisionCounts) {
	t.Helper()
	table := NewTable(func(size int) int { return size })
	models := map[Key]*reservationModel{}
	var now time.Duration
	for range 4000 {
		now += time.Duration(rng.Int64N(int64(500 * time.Millisecond)))
		key := Key{Text: fmt.Sprint(rng.IntN(400))}
		expected := models[key]
		if expected != nil && expected.completed && now-expected.completedAt > Retention {
			expected = nil
		}
		delivered := false
		table.Reserve(key, Fingerprint{}, now, func(result Result[int]) {
			delivered = true
			switch {
			case result.Decision == Proceed && expected == nil:
				counts.proceed++
				models[key] = &reservationModel{}
			case result.Decision == Replay && !result.Retry && expected != nil && result.Response == models[key].response:
				counts.replay++
			case result.Decision == ResponseEvicted && expected != nil && expected.completed:
				counts.evicted++
			case result.Retry:
			default:
				t.Fatalf("got result %+v, want one that matches the model's reservation %+v", result, expected)
			}
		})
		if waits := expected != nil && !expected.completed; delivered == waits {
			t.Fatalf("result delivered immediately: %v, model's reservation: %+v", delivered, expected)
		}
		if model := models[key]; model != nil && !model.completed && rng.IntN(3) > 0 {
			model.response = rng.IntN(maxResponseBytes / 20)
			if rng.IntN(4) > 0 {
				model.completed, model.completedAt = true, now
				table.Complete(key, model.response, now)
			} else {
				delete(models, key)
				table.Release(key)
			}
		}
		if table.responseBytes > maxResponseBytes || table.responseBytes < 0 {
			t.Fatalf("%d bytes of responses are stored, want between 0 and maxResponseBytes", table.responseBytes)
		}
	}
	return counts
}

// TestTableFull checks that a table accepts maxReservations reservations and refuses the next
// one.
func TestTableFull(t *testing.T) {
	table := NewTable(func(int) int { return 0 })
	for i := range maxReservations + 1 {
		table.Reserve(Key{Text: fmt.Sprint(i)}, Fingerprint{}, 0, func(result Result[int]) {
			if (result.Decision == TableFull) != (i == maxReservations) {
				t.Fatalf("reservation %d: got decision %v, want TableFull for the last reservation only", i, result.Decision)
			}
		})
	}
}
