package endpoints

import (
	"testing"
	"time"
)

// own is a roster with one backend, which has announced itself up to a count.
func own(t *testing.T, count uint64, now time.Time) (Roster, Announcement) {
	t.Helper()
	a := Announcement{Instance: "a", Service: "s", Address: "10.0.0.1:80", Capacity: 9, Count: count}
	r, faults := Roster{}.Announce(a, "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return r, a
}

// admits tells whether the gate lets an attempt through to an instance.
func admits(r Roster, instance string, now time.Time) bool {
	_, refusal := r.Check(Ask{Service: "s", Instance: instance}, func(string) bool { return false }, now)
	return refusal == Open
}

// Whoever has said that it leaves is given nothing more, and takes nothing from others,
// whatever is heard of it later.
func TestLeavingIsFinal(t *testing.T) {
	t.Run("late announcement", lateAnnouncement)
	t.Run("word of an unknown one", wordOfUnknown)
	t.Run("late announcement of an address", lateAddress)
}

// lateAnnouncement has an announcement come after a word of leaving, however late, and
// whether announcements count or not.
func lateAnnouncement(t *testing.T) {
	begin := time.Now()
	leave := map[string]func(r Roster, a Announcement) Roster{
		"by its announcement": func(r Roster, a Announcement) Roster {
			a.Leaving = true
			next, _ := r.Announce(a, "north", begin)
			return next
		},
		"by a word of leaving": func(r Roster, a Announcement) Roster {
			return r.Depart(a.Instance)
		},
		"by a word of leaving, twice": func(r Roster, a Announcement) Roster {
			return r.Depart(a.Instance).Depart(a.Instance)
		},
		"by a word of leaving, and forgotten in silence": func(r Roster, a Announcement) Roster {
			return r.Depart(a.Instance).Tick(begin.Add(r.Pace.Forget() + 1))
		},
	}
	for way, leaves := range leave {
		for _, count := range []uint64{0, 7} {
			for _, after := range []time.Duration{time.Millisecond, 2250 * time.Millisecond, time.Minute, 24 * time.Hour} {
				r, a := own(t, count, begin)
				r = leaves(r, a)
				if count > 0 {
					a.Count++ // the newest that was sent, and late
				}
				now := begin.Add(after)
				r, _ = r.Announce(a, "north", now)
				if admits(r, "a", now) {
					t.Errorf("left %s, announcements count from %d: admitted after %v", way, count, after)
				}
			}
		}
	}
}

// wordOfUnknown has a word of leaving come before any announcement, since that is late, or
// the process has started anew.
func wordOfUnknown(t *testing.T) {
	now := time.Now()
	r := Roster{}.Depart("a")
	_, a := own(t, 1, now)
	if r, _ = r.Announce(a, "north", now.Add(time.Millisecond)); admits(r, "a", now.Add(time.Millisecond)) {
		t.Error("admitted after its word of leaving")
	}
}

// lateAddress has a backend that has left announce its address late: another has it now.
func lateAddress(t *testing.T) {
	now := time.Now()
	r, a := own(t, 1, now)
	r = r.Depart("a")
	next := a
	next.Instance = "b"
	r, _ = r.Announce(next, "north", now.Add(3*time.Second))
	leaving := a
	leaving.Leaving = true
	for _, late := range []Announcement{a, leaving} {
		got, _ := r.Announce(late, "north", now.Add(4*time.Second))
		if !admits(got, "b", now.Add(4*time.Second)) {
			t.Errorf("the one that has the address now is not admitted to after %+v", late)
		}
	}
	// Nor does one that this process never heard before.
	started, _ := Roster{}.Announce(next, "north", now)
	if started, _ = started.Announce(leaving, "north", now); !admits(started, "b", now) || !started.Departed("a") {
		t.Error("a late word of leaving took the address")
	}
}

// A backend whose address another one has taken has ended: what it announces late takes
// nothing back while the other is there. Where that one falls silent in its turn, it was the
// late one.
func TestLateAnnouncementOfDisplaced(t *testing.T) {
	t.Run("counted", func(t *testing.T) { lateDisplaced(t, 5) })
	t.Run("not counted", func(t *testing.T) { lateDisplaced(t, 0) })
}

// lateDisplaced has a backend whose announcements count from a number, or not at all, lose its
// address and announce it late.
func lateDisplaced(t *testing.T, count uint64) {
	begin := time.Now()
	r, a := own(t, count, begin)
	b := a
	b.Instance, b.Service, b.Count = "b", "other", 1
	now := begin.Add(3 * time.Second)
	r, _ = r.Announce(b, "north", now)
	b.Count = 2
	now = now.Add(r.Pace.beat())
	r, _ = r.Announce(b, "north", now)
	if count > 0 {
		a.Count++
	}
	now = now.Add(r.Pace.Fresh())
	late, _ := r.Announce(a, "north", now)
	if _, holds := late.Entry("b"); !holds || admits(late, "a", now) {
		t.Error("a late announcement took the address back")
	}
	now = now.Add(1)
	back, _ := r.Announce(a, "north", now)
	if !admits(back, "a", now) {
		t.Error("the one that is there is not taken, though the other is silent")
	}
}

// A process that has been up for some beats has heard whoever is there. What it hears then
// for the first time, and what counts as not its first announcement, may be late, from before
// this process started: it is taken once a later one has come.
func TestFirstHeardLate(t *testing.T) {
	begin := time.Now()
	for count, taken := range map[uint64][2]bool{0: {true, true}, 1: {true, true}, 7: {false, true}} {
		r := Roster{Started: begin}
		_, a := own(t, count, begin)
		soon := begin.Add(r.Pace.Settled())
		if got, _ := r.Announce(a, "north", soon); !admits(got, "a", soon) {
			t.Errorf("count %d: not taken at the start", count)
		}
		now := soon.Add(1)
		for i, want := range taken {
			for range 2 { // it may come doubled
				if r, _ = r.Announce(a, "north", now); admits(r, "a", now) != want {
					t.Errorf("count %d, announcement %d: admitted %v", count, i+1, !want)
				}
			}
			if count > 0 {
				a.Count++
			}
		}
	}
}

// In a process that has just started, a late announcement may be the first that is heard of
// an address, or come between the first two of the one that is there. That one has its
// address back with its next beat, and keeps it.
func TestLateAnnouncementAfterAStart(t *testing.T) {
	begin := time.Now()
	for _, heardBefore := range []int{0, 1, 2} {
		r := Roster{Started: begin}
		_, late := own(t, 7, begin)
		there := late
		there.Instance, there.Count = "there", 20
		now := begin
		beat := func() {
			now = now.Add(r.Pace.beat() / 4)
			r, _ = r.Announce(there, "north", now)
			there.Count++
		}
		for range heardBefore {
			beat()
		}
		for range 2 { // it may come doubled
			r, _ = r.Announce(late, "north", now)
		}
		if taken := admits(r, "a", now); taken == (heardBefore == 2) {
			t.Errorf("after %d beats of the other: the late one is admitted to: %v", heardBefore, taken)
		}
		for beats := 1; beats <= 3; beats++ {
			beat()
			if !admits(r, "there", now) || admits(r, "a", now) {
				t.Errorf("after %d beats of the other, and %d more: it does not have its address", heardBefore, beats)
			}
			if beats > 1 {
				r, _ = r.Announce(late, "north", now)
			}
		}
	}
}
