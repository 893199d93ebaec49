package endpoints

import (
	"fmt"
	"testing"
	"time"
)

// registryWithBackend returns a registry with one announced backend, and its announcement with the
// given sequence number.
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

// TestDrainingIsFinal checks that a backend that has announced its departure receives no more
// requests, and takes no address from another instance, whatever announcements of it arrive later.
func TestDrainingIsFinal(t *testing.T) {
	t.Run("stale announcement", testStaleAnnouncement)
	t.Run("departure of an unknown instance", testDepartureOfUnknown)
	t.Run("stale announcement of an address", testStaleAddress)
}

// testStaleAnnouncement checks announcements that arrive after the departure, with different
// delays, with and without sequence numbers.
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
		"by a departure, then expired": func(r Registry, a Announcement) Registry {
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
						a.Sequence++ // the newest announcement sent, but stale after the departure
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

// testDepartureOfUnknown checks a departure that arrives before any announcement, because the
// announcements are late or the process has restarted.
func testDepartureOfUnknown(t *testing.T) {
	now := time.Now()
	r := Registry{}.MarkDeparted("a")
	_, a := registryWithBackend(t, 1, now)
	if r, _ = r.Announce(a, "north", now.Add(time.Millisecond)); isAdmitted(r, "a", now.Add(time.Millisecond)) {
		t.Error("admitted after its departure")
	}
}

// testStaleAddress checks that a departed backend does not regain its address by a stale
// announcement when another instance has taken over the address.
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
			t.Errorf("the instance that took over the address is not admitted after the stale announcement %+v", stale)
		}
	}
	// The same holds for a departed instance that was unknown to this process.
	restarted, _ := Registry{}.Announce(successor, "north", now)
	if restarted, _ = restarted.Announce(draining, "north", now); !isAdmitted(restarted, "b", now) || !restarted.HasDeparted("a") {
		t.Error("after the departure of an unknown instance: want its successor admitted and the departure recorded")
	}
}

// TestStaleAnnouncementOfDisplaced checks that a stale announcement of a backend does not regain
// its address from an instance that has taken over the address and is active. If the other instance
// falls silent, its announcements were the stale ones, and the backend regains the address.
func TestStaleAnnouncementOfDisplaced(t *testing.T) {
	t.Run("with sequence numbers", func(t *testing.T) { testStaleAfterDisplacement(t, 5) })
	t.Run("without sequence numbers", func(t *testing.T) { testStaleAfterDisplacement(t, 0) })
}

// testStaleAfterDisplacement checks a displaced backend that announces its address again. Its
// announcements are numbered from sequence, or not numbered if sequence is 0.
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
		t.Error("a stale announcement regained the address")
	}
	now = now.Add(1)
	back, _ := r.Announce(a, "north", now)
	if !isAdmitted(back, "a", now) {
		t.Error("the active instance is not admitted although the other instance is silent")
	}
}

// TestFirstAnnouncementMayBeStale checks the first received announcement of an instance in a
// process that has been running for several heartbeats, and so has discovered all running
// instances. If it is not the instance's first announcement, it may have been sent before the
// process started. It is then applied only once a later announcement has arrived.
func TestFirstAnnouncementMayBeStale(t *testing.T) {
	begin := time.Now()
	for sequence, admitted := range map[uint64][2]bool{0: {true, true}, 1: {true, true}, 7: {false, true}} {
		t.Run(fmt.Sprint("sequence ", sequence), func(t *testing.T) {
			r := Registry{Started: begin}
			_, a := registryWithBackend(t, sequence, begin)
			discovered := begin.Add(r.Heartbeats.DiscoveryDelay())
			if got, _ := r.Announce(a, "north", discovered); !isAdmitted(got, "a", discovered) {
				t.Error("not admitted within the discovery delay")
			}
			now := discovered.Add(1)
			for i, want := range admitted {
				for range 2 { // the network may duplicate an announcement
					if r, _ = r.Announce(a, "north", now); isAdmitted(r, "a", now) != want {
						t.Errorf("announcement %d: got admitted = %v, want the opposite", i+1, !want)
					}
				}
				if sequence > 0 {
					a.Sequence++
				}
			}
		})
	}
}

// TestStaleAnnouncementAfterStart checks a process that has just started. A stale announcement may
// be the first to claim an address, or may arrive between the first two announcements of the
// instance that has the address. This instance must regain the address with its next heartbeat, and
// keep it.
func TestStaleAnnouncementAfterStart(t *testing.T) {
	begin := time.Now()
	for _, receivedBefore := range []int{0, 1, 2} {
		t.Run(fmt.Sprintf("after %d heartbeats of the current instance", receivedBefore), func(t *testing.T) {
			r := Registry{Started: begin}
			_, stale := registryWithBackend(t, 7, begin)
			current := stale
			current.Instance, current.Sequence = "current", 20
			now := begin
			heartbeat := func() {
				now = now.Add(r.Heartbeats.interval() / 4)
				r, _ = r.Announce(current, "north", now)
				current.Sequence++
			}
			for range receivedBefore {
				heartbeat()
			}
			for range 2 { // the network may duplicate an announcement
				r, _ = r.Announce(stale, "north", now)
			}
			if admitted := isAdmitted(r, "a", now); admitted == (receivedBefore == 2) {
				t.Errorf("got admitted = %v for the stale instance, want the opposite", admitted)
			}
			for heartbeats := 1; heartbeats <= 3; heartbeats++ {
				heartbeat()
				if !isAdmitted(r, "current", now) || isAdmitted(r, "a", now) {
					t.Errorf("after %d more heartbeats, the current instance has not regained its address", heartbeats)
				}
				if heartbeats > 1 {
					r, _ = r.Announce(stale, "north", now)
				}
			}
		})
	}
}
