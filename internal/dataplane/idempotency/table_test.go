package idempotency

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// reservationModel is what a test expects of one reservation.
type reservationModel struct {
	response    int
	completedAt time.Duration
	completed   bool
}

// decisionCounts counts the decisions that a test has met.
type decisionCounts struct{ proceed, replay, evicted int }

// TestTable compares a table with a plain model, under pressure of count and bytes: no
// request whose key is reserved is executed again before its retention has passed, and a
// replay gets the first request's response or learns that it was evicted.
func TestTable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			counts := compareWithModel(t, rand.New(rand.NewPCG(seed, 1)))
			if counts.proceed == 0 || counts.replay == 0 || counts.evicted == 0 {
				t.Errorf("not every decision was met: %+v", counts)
			}
		})
	}
}

// compareWithModel executes random operations on a table and on a model of it.
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
				t.Fatalf("result %+v, expected reservation %+v", result, expected)
			}
		})
		if waits := expected != nil && !expected.completed; delivered == waits {
			t.Fatalf("delivered at once: %v, expected reservation %+v", delivered, expected)
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
			t.Fatalf("%d bytes of responses are stored", table.responseBytes)
		}
	}
	return counts
}

// TestTableFull checks that exactly the reservations beyond the bound are refused.
func TestTableFull(t *testing.T) {
	table := NewTable(func(int) int { return 0 })
	for i := range maxReservations + 1 {
		table.Reserve(Key{Text: fmt.Sprint(i)}, Fingerprint{}, 0, func(result Result[int]) {
			if (result.Decision == TableFull) != (i == maxReservations) {
				t.Fatalf("reservation %d: decision %v", i, result.Decision)
			}
		})
	}
}
