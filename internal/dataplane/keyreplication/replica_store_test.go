package keyreplication

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"curlewwalk/internal/dataplane/idempotency"
)

// recordModel is the expected state of one record.
type recordModel struct {
	incarnation, sequence uint64
	expiresAt             time.Duration
	completed             bool
}

// TestReplicaStore compares a store with a simple model under random operations. If the store
// lost or replaced the record of an earlier incarnation, a replay would be executed again.
// The store must therefore return such a record to a later incarnation and never replace it.
// A record may be released only by its own reservation, and must be kept until it expires.
func TestReplicaStore(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if conflicts := compareWithModel(t, rand.New(rand.NewPCG(seed, 31))); conflicts == 0 {
				t.Error("got no conflict with a record of an earlier incarnation, want at least one")
			}
		})
	}
}

// compareWithModel executes random operations on a store and on a model of the store. It
// returns how often a store operation found a record of an earlier incarnation.
func compareWithModel(t *testing.T, rng *rand.Rand) (conflicts int) {
	t.Helper()
	store := NewReplicaStore()
	models := map[string]*recordModel{}
	incarnation, sequence := uint64(1), uint64(0)
	var now time.Duration
	for range 5000 {
		now += time.Duration(rng.Int64N(int64(2 * time.Second)))
		if rng.IntN(50) == 0 {
			incarnation++
		}
		text := fmt.Sprint("key-", rng.IntN(40))
		model := models[text]
		if model != nil && now >= model.expiresAt {
			model = nil
			delete(models, text)
		}
		record := Record{Owner: "o", Incarnation: incarnation, Key: idempotency.Key{Text: text}, TTL: time.Minute}
		switch rng.IntN(4) {
		case 0: // complete or release a record of this incarnation
			if model == nil || model.incarnation != incarnation {
				break
			}
			record.Sequence = model.sequence
			if rng.IntN(2) == 0 {
				store.Release(record)
				delete(models, text)
			} else {
				record.Response = []byte("response")
				store.Store(record, now)
				model.completed, model.expiresAt = true, now+record.TTL
			}
		case 1: // the release of an earlier reservation must not remove a later record
			record.Sequence = 0
			store.Release(record)
		default:
			sequence++
			record.Sequence = sequence
			reply := store.Store(record, now)
			switch {
			case model != nil && model.incarnation != incarnation:
				conflicts++
				existing := reply.Existing
				if reply.Accepted || existing == nil || existing.Incarnation != model.incarnation || (existing.Response != nil) != model.completed {
					t.Fatalf("got reply %+v, want the existing record %+v", reply, model)
				}
			case !reply.Accepted:
				t.Fatalf("got reply %+v, want it accepted; model's record: %+v", reply, model)
			default:
				models[text] = &recordModel{incarnation: incarnation, sequence: sequence, expiresAt: now + record.TTL}
			}
		}
		checkHandover(t, store, models, incarnation, now)
	}
	return conflicts
}

// checkHandover checks that all unexpired records of earlier incarnations are handed over.
func checkHandover(t *testing.T, store *ReplicaStore, models map[string]*recordModel, incarnation uint64, now time.Duration) {
	t.Helper()
	want := 0
	for _, model := range models {
		if model.incarnation != incarnation && now < model.expiresAt {
			want++
		}
	}
	got := len(store.Handover(HandoverRequest{Owner: "o", Incarnation: incarnation}, now).Records)
	if got != want {
		t.Fatalf("%d records were handed over, want the %d of earlier incarnations", got, want)
	}
}

// TestReplicaStoreBounds checks that a store that has reached the bound on response bytes
// accepts further records without their responses. It also checks that the responses in a
// handover reply are within maxHandoverBytes.
func TestReplicaStoreBounds(t *testing.T) {
	const responseSize = 1 << 20
	const count = 3 * maxResponseBytes / responseSize
	store := NewReplicaStore()
	for i := range count {
		record := Record{Owner: "o", Sequence: 1, Key: idempotency.Key{Text: fmt.Sprint(i)}, TTL: time.Minute, Response: make([]byte, responseSize)}
		if !store.Store(record, 0).Accepted || store.responseBytes > maxResponseBytes {
			t.Fatalf("record %d: not accepted, or stored responses of %d bytes exceed maxResponseBytes", i, store.responseBytes)
		}
	}
	responseBytes := 0
	records := store.Handover(HandoverRequest{Owner: "o", Incarnation: 1}, 0).Records
	for _, record := range records {
		responseBytes += len(record.Response)
	}
	if len(records) != count || responseBytes == 0 || responseBytes > maxHandoverBytes {
		t.Errorf("%d records with %d bytes of responses were handed over, want all records, and between 1 and maxHandoverBytes bytes", len(records), responseBytes)
	}
}
