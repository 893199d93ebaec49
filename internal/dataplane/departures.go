package dataplane

import (
	"sync/atomic"

	"curlewwalk/internal/dataplane/endpoints"
)

// departures counts and tells what own backends said of leaving, and the announcements
// that came late: such lines say afterwards why a backend was given requests, or none.
// The steward's thread writes, metrics read.
type departures struct {
	// notice prints a line for operators.
	notice func(message string, attributes ...any)
	counts [numWords]atomic.Int64
}

// word is what a backend's announcement or word of leaving came to, where that is not
// simply that it is there.
type word int

const (
	// wordLeaving is of a backend that is leaving from now on.
	wordLeaving word = iota
	// wordUnknownLeft is a word of leaving of a backend that is not known.
	wordUnknownLeft
	// wordOvertaken is an announcement that a later one came before.
	wordOvertaken
	// wordLate is an announcement of a backend that has said that it leaves, and which
	// does not say so.
	wordLate
	// wordDoubted is an announcement of one that should have been heard before.
	wordDoubted
	numWords
)

// wordNames are the words as logs and metrics name them.
var wordNames = [numWords]string{"leaving", "unknown-left", "overtaken", "late", "doubted"}

// note counts a word and prints it.
func (d *departures) note(w word, instance string, attributes ...any) {
	d.counts[w].Add(1)
	if d.notice != nil {
		d.notice("backend "+wordNames[w], append([]any{"instance", instance}, attributes...)...)
	}
}

// announced compares a roster before and after an announcement.
func (d *departures) announced(a endpoints.Announcement, before, after endpoints.Registry) {
	entry, _ := before.Lookup(a.Instance)
	switch {
	case before.HasDeparted(a.Instance) && !a.Draining:
		d.note(wordLate, a.Instance, "count", a.Sequence)
	case after.IsUnconfirmed(a.Instance):
		d.note(wordDoubted, a.Instance, "count", a.Sequence)
	case entry.Supersedes(a):
		d.note(wordOvertaken, a.Instance, "count", a.Sequence)
	case !before.HasDeparted(a.Instance) && after.HasDeparted(a.Instance):
		d.note(wordLeaving, a.Instance, "by", "announcement", "count", a.Sequence)
	}
}

// left takes a word of leaving that is no announcement; before tells whether the instance
// had said so already.
func (d *departures) left(instance string, known, before bool) {
	switch {
	case before:
	case known:
		d.note(wordLeaving, instance, "by", "delete")
	default:
		d.note(wordUnknownLeft, instance, "by", "delete")
	}
}
