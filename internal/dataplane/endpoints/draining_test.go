package endpoints

import (
	"fmt"
	"testing"
	"time"
)

// registryWithBackend returns a registry with the backend of an announcement of a sequence
// number, and the announcement.
func registryWithBackend(t *testing.T, sequence uint64, now time.Time) (Registry, Announcement) {
	t.Helper()
	a := Announcement{Instance: "a", Service: "s", Address: "10.0.0.1:80", Capacity: 9, Sequence: sequence}
	r, faults := Registry{}.Announce(a, "north", now)
	if len(faults) > 0 {
		t.Fatal(faults)
	}
	return r, a
}

// isAdmitted reports whether requests to an instance are admitted.
func isAdmitted(r Registry, instance string, now time.Time) bool {
	_, rejection := r.Admit(AdmissionRequest{Service: "s", Instance: instance}, func(string) bool { return false }, now)
	return rejection == Admitted
}

// TestDrainingIsFinal checks that a backend that has announced that it leaves gets no more
// requests, and takes no address from others, whatever arrives of it later.
func TestDrainingIsFinal(t *testing.T) {
	t.Run("stale announcement", testStaleAnnouncement)
	t.Run("departure of an unknown instance", testDepartureOfUnknown)
	t.Run("stale announcement of an address", testStaleAddress)
}

// testStaleAnnouncement lets an announcement arrive after the departure, however late, and
// whether announcements are numbered or not.
func testStaleAnnouncement(t *testing.T) {
	begin := time.Now()
	departures := map[string]func(r Registry, a Announcement) Registry{
		"by an announcement": func(r Registry, a Announcement) Registry {
			a.Draining = true
			next, _ := r.Announce(a, "north", begin)
			return next
		},
		"by a departure": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance)
		},
		"by two departures": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance).MarkDeparted(a.Instance)
		},
		"by a departure, and removed as silent": func(r Registry, a Announcement) Registry {
			return r.MarkDeparted(a.Instance).ExpireSilent(begin.Add(r.Heartbeats.RemoveAfter() + 1))
		},
	}
	for name, depart := range departures {
		for _, sequence := range []uint64{0, 7} {
			for _, after := range []time.Duration{time.Millisecond, 2250 * time.Millisecond, time.Minute, 24 * time.Hour} {
				t.Run(fmt.Sprintf("%s, sequence %d, after %v", name, sequence, after), func(t *testing.T) {
					r, a := registryWithBackend(t, sequence, begin)
					r = depart(r, a)
					if sequence > 0 {
						a.Sequence++ // the newest that was sent, and stale
					}
					now := begin.Add(after)
					r, _ = r.Announce(a, "north", now)
					if isAdmitted(r, "a", now) {
						t.Error("admitted after its departure")
					}
				})
			}
		}
	}
}

// testDepartureOfUnknown lets the departure arrive before any announcement, since these are
// late, or the process has restarted.
func testDepartureOfUnknown(t *testing.T) {
	now := time.Now()
	r := Registry{}.MarkDeparted("a")
	_, a := registryWithBackend(t, 1, now)
	if r, _ = r.Announce(a, "north", now.Add(time.Millisecond)); isAdmitted(r, "a", now.Add(time.Millisecond)) {
		t.Error("admitted after its departure")
	}
}

// testStaleAddress lets a backend that has left announce its address, which another instance
// has by now.
func testStaleAddress(t *testing.T) {
	now := time.Now()
	r, a := registryWithBackend(t, 1, now)
	r = r.MarkDeparted("a")
	successor := a
	successor.Instance = "b"
	r, _ = r.Announce(successor, "north", now.Add(3*time.Second))
	draining := a
	draining.Draining = true
	for _, stale := range []Announcement{a, draining} {
		got, _ := r.Announce(stale, "north", now.Add(4*time.Second))
		if !isAdmitted(got, "b", now.Add(4*time.Second)) {
			t.Errorf("the instance that has the address now is not admitted after %+v", stale)
		}
	}
	// Nor does an instance that this process never heard from before.
	restarted, _ := Registry{}.Announce(successor, "north", now)
	if restarted, _ = restarted.Announce(draining, "north", now); !isAdmitted(restarted, "b", now) || !restarted.HasDeparted("a") {
		t.Error("a stale departure took the address")
	}
}

// TestStaleAnnouncementOfDisplaced checks that a backend whose address another instance has
// taken over doesn't take it back with a stale announcement while the other is there. If
// the other falls silent in its turn, that one's announcements were the stale ones.
func TestStaleAnnouncementOfDisplaced(t *testing.T) {
	t.Run("numbered", func(t *testing.T) { testStaleAfterDisplacement(t, 5) })
	t.Run("not numbered", func(t *testing.T) { testStaleAfterDisplacement(t, 0) })
}

// testStaleAfterDisplacement lets a backend whose announcements are numbered from sequence,
// or not at all, lose its address and announce it afterwards.
func testStaleAfterDisplacement(t *testing.T, sequence uint64) {
	t.Helper()
	begin := time.Now()
	r, a := registryWithBackend(t, sequence, begin)
	b := a
	b.Instance, b.Service, b.Sequence = "b", "other", 1
	now := begin.Add(3 * time.Second)
	r, _ = r.Announce(b, "north", now)
	b.Sequence = 2
	now = now.Add(r.Heartbeats.interval())
	r, _ = r.Announce(b, "north", now)
	if sequence > 0 {
		a.Sequence++
	}
	now = now.Add(r.Heartbeats.Freshness())
	stale, _ := r.Announce(a, "north", now)
	if _, known := stale.Lookup("b"); !known || isAdmitted(stale, "a", now) {
		t.Error("a stale announcement took the address back")
	}
	now = now.Add(1)
	back, _ := r.Announce(a, "north", now)
	if !isAdmitted(back, "a", now) {
		t.Error("the instance that is there is not admitted, though the other is silent")
	}
}

// TestFirstAnnouncementMayBeStale checks the first announcement of an instance in a process
// that has been up for some heartbeats, and so has heard from all instances that are there:
// if it is not the instance's first, it may have been sent before the process started, and
// is taken once a later one has arrived.
func TestFirstAnnouncementMayBeStale(t *testing.T) {
	begin := time.Now()
	for sequence, admitted := range map[uint64][2]bool{0: {true, true}, 1: {true, true}, 7: {false, true}} {
		t.Run(fmt.Sprint("sequence ", sequence), func(t *testing.T) {
			r := Registry{Started: begin}
			_, a := registryWithBackend(t, sequence, begin)
			discovered := begin.Add(r.Heartbeats.DiscoveryDelay())
			if got, _ := r.Announce(a, "north", discovered); !isAdmitted(got, "a", discovered) {
				t.Error("not admitted at the start")
			}
			now := discovered.Add(1)
			for i, want := range admitted {
				for range 2 { // it may be duplicated on the way
					if r, _ = r.Announce(a, "north", now); isAdmitted(r, "a", now) != want {
						t.Errorf("announcement %d: admitted %v", i+1, !want)
					}
				}
				if sequence > 0 {
					a.Sequence++
				}
			}
		})
	}
}

// TestStaleAnnouncementAfterStart checks a process that has just started, to which a stale
// announcement may be the first that announces an address, or come between the first two of
// the instance that is there. That one has its address back with its next heartbeat, and
// keeps it.
func TestStaleAnnouncementAfterStart(t *testing.T) {
	begin := time.Now()
	for _, receivedBefore := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("after %d heartbeats of the other", receivedBefore), func(t *testing.T) {
			r := Registry{Started: begin}
			_, stale := registryWithBackend(t, 7, begin)
			there := stale
			there.Instance, there.Sequence = "there", 20
			now := begin
			heartbeat := func() {
				now = now.Add(r.Heartbeats.interval() / 4)
				r, _ = r.Announce(there, "north", now)
				there.Sequence++
			}
			for range receivedBefore {
				heartbeat()
			}
			for range 2 { // it may be duplicated on the way
				r, _ = r.Announce(stale, "north", now)
			}
			if admitted := isAdmitted(r, "a", now); admitted == (receivedBefore == 2) {
				t.Errorf("the stale instance is admitted: %v", admitted)
			}
			for heartbeats := 1; heartbeats <= 3; heartbeats++ {
				heartbeat()
				if !isAdmitted(r, "there", now) || isAdmitted(r, "a", now) {
					t.Errorf("after %d more heartbeats the other does not have its address", heartbeats)
				}
				if heartbeats > 1 {
					r, _ = r.Announce(stale, "north", now)
				}
			}
		})
	}
}
