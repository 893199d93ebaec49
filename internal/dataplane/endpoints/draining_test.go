package endpoints

import (
	"testing"
	"time"
)

// registryWithBackend is a roster with one backend, which has announced itself up to a count.
func registryWithBackend(t *testing.T, count uint64, now time.Time) (Registry, Announcement) {
	t.Helper()
	a := Announcement{Instance: "a", Service: "s", Address: "10.0.0.1:80", Capacity: 9, Sequence: count}
	r, faults := Registry{}.Announce(a, "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return r, a
}

// isAdmitted tells whether the gate lets an attempt through to an instance.
func isAdmitted(r Registry, instance string, now time.Time) bool {
	_, refusal := r.Admit(AdmissionRequest{Service: "s", Instance: instance}, func(string) bool { return false }, now)
	return refusal == Admitted
}

// Whoever has said that it leaves is given nothing more, and takes nothing from others,
// whatever is heard of it later.
func TestDrainingIsFinal(t *testing.T) {
	t.Run("late announcement", testStaleAnnouncement)
	t.Run("word of an unknown one", testDepartureOfUnknown)
	t.Run("late announcement of an address", testStaleAddress)
}

// testStaleAnnouncement has an announcement come after a word of leaving, however late, and
// whether announcements count or not.
func testStaleAnnouncement(t *testing.T) {
	begin := time.Now()
	leave := map[string]func(r Registry, a Announcement) Registry{
		"by its announcement": func(r Registry, a Announcement) Registry {
			a.Draining = true
			next, _ := r.Announce(a, "north", begin)
			return next
		},
		"by a word of leaving": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance)
		},
		"by a word of leaving, twice": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance).MarkDeparted(a.Instance)
		},
		"by a word of leaving, and forgotten in silence": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance).ExpireSilent(begin.Add(r.Heartbeats.RemoveAfter() + 1))
		},
	}
	for way, leaves := range leave {
		for _, count := range []uint64{0, 7} {
			for _, after := range []time.Duration{time.Millisecond, 2250 * time.Millisecond, time.Minute, 24 * time.Hour} {
				r, a := registryWithBackend(t, count, begin)
				r = leaves(r, a)
				if count > 0 {
					a.Sequence++ // the newest that was sent, and late
				}
				now := begin.Add(after)
				r, _ = r.Announce(a, "north", now)
				if isAdmitted(r, "a", now) {
					t.Errorf("left %s, announcements count from %d: admitted after %v", way, count, after)
				}
			}
		}
	}
}

// testDepartureOfUnknown has a word of leaving come before any announcement, since that is late, or
// the process has started anew.
func testDepartureOfUnknown(t *testing.T) {
	now := time.Now()
	r := Registry{}.MarkDeparted("a")
	_, a := registryWithBackend(t, 1, now)
	if r, _ = r.Announce(a, "north", now.Add(time.Millisecond)); isAdmitted(r, "a", now.Add(time.Millisecond)) {
		t.Error("admitted after its word of leaving")
	}
}

// testStaleAddress has a backend that has left announce its address late: another has it now.
func testStaleAddress(t *testing.T) {
	now := time.Now()
	r, a := registryWithBackend(t, 1, now)
	r = r.MarkDeparted("a")
	next := a
	next.Instance = "b"
	r, _ = r.Announce(next, "north", now.Add(3*time.Second))
	leaving := a
	leaving.Draining = true
	for _, late := range []Announcement{a, leaving} {
		got, _ := r.Announce(late, "north", now.Add(4*time.Second))
		if !isAdmitted(got, "b", now.Add(4*time.Second)) {
			t.Errorf("the one that has the address now is not admitted to after %+v", late)
		}
	}
	// Nor does one that this process never heard before.
	started, _ := Registry{}.Announce(next, "north", now)
	if started, _ = started.Announce(leaving, "north", now); !isAdmitted(started, "b", now) || !started.HasDeparted("a") {
		t.Error("a late word of leaving took the address")
	}
}

// A backend whose address another one has taken has ended: what it announces late takes
// nothing back while the other is there. Where that one falls silent in its turn, it was the
// late one.
func TestStaleAnnouncementOfDisplaced(t *testing.T) {
	t.Run("counted", func(t *testing.T) { testStaleAfterDisplacement(t, 5) })
	t.Run("not counted", func(t *testing.T) { testStaleAfterDisplacement(t, 0) })
}

// testStaleAfterDisplacement has a backend whose announcements count from a number, or not at all, lose its
// address and announce it late.
func testStaleAfterDisplacement(t *testing.T, count uint64) {
	begin := time.Now()
	r, a := registryWithBackend(t, count, begin)
	b := a
	b.Instance, b.Service, b.Sequence = "b", "other", 1
	now := begin.Add(3 * time.Second)
	r, _ = r.Announce(b, "north", now)
	b.Sequence = 2
	now = now.Add(r.Heartbeats.interval())
	r, _ = r.Announce(b, "north", now)
	if count > 0 {
		a.Sequence++
	}
	now = now.Add(r.Heartbeats.Freshness())
	late, _ := r.Announce(a, "north", now)
	if _, holds := late.Lookup("b"); !holds || isAdmitted(late, "a", now) {
		t.Error("a late announcement took the address back")
	}
	now = now.Add(1)
	back, _ := r.Announce(a, "north", now)
	if !isAdmitted(back, "a", now) {
		t.Error("the one that is there is not taken, though the other is silent")
	}
}

// A process that has been up for some beats has heard whoever is there. What it hears then
// for the first time, and what counts as not its first announcement, may be late, from before
// this process started: it is taken once a later one has come.
func TestFirstAnnouncementMayBeStale(t *testing.T) {
	begin := time.Now()
	for count, taken := range map[uint64][2]bool{0: {true, true}, 1: {true, true}, 7: {false, true}} {
		r := Registry{Started: begin}
		_, a := registryWithBackend(t, count, begin)
		soon := begin.Add(r.Heartbeats.DiscoveryDelay())
		if got, _ := r.Announce(a, "north", soon); !isAdmitted(got, "a", soon) {
			t.Errorf("count %d: not taken at the start", count)
		}
		now := soon.Add(1)
		for i, want := range taken {
			for range 2 { // it may come doubled
				if r, _ = r.Announce(a, "north", now); isAdmitted(r, "a", now) != want {
					t.Errorf("count %d, announcement %d: admitted %v", count, i+1, !want)
				}
			}
			if count > 0 {
				a.Sequence++
			}
		}
	}
}

// In a process that has just started, a late announcement may be the first that is heard of
// an address, or come between the first two of the one that is there. That one has its
// address back with its next beat, and keeps it.
func TestStaleAnnouncementAfterStart(t *testing.T) {
	begin := time.Now()
	for _, heardBefore := range []int{0, 1, 2} {
		r := Registry{Started: begin}
		_, late := registryWithBackend(t, 7, begin)
		there := late
		there.Instance, there.Sequence = "there", 20
		now := begin
		beat := func() {
			now = now.Add(r.Heartbeats.interval() / 4)
			r, _ = r.Announce(there, "north", now)
			there.Sequence++
		}
		for range heardBefore {
			beat()
		}
		for range 2 { // it may come doubled
			r, _ = r.Announce(late, "north", now)
		}
		if taken := isAdmitted(r, "a", now); taken == (heardBefore == 2) {
			t.Errorf("after %d beats of the other: the late one is admitted to: %v", heardBefore, taken)
		}
		for beats := 1; beats <= 3; beats++ {
			beat()
			if !isAdmitted(r, "there", now) || isAdmitted(r, "a", now) {
				t.Errorf("after %d beats of the other, and %d more: it does not have its address", heardBefore, beats)
			}
			if beats > 1 {
				r, _ = r.Announce(late, "north", now)
			}
		}
	}
}
