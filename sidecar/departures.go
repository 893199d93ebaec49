package sidecar

import (
	"sync/atomic"

	"curlewwalk/roster"
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
	// wordCalledBack is an announcement that ended a leaving.
	wordCalledBack
	numWords
)

// wordNames are the words as logs and metrics name them.
var wordNames = [numWords]string{"leaving", "unknown-left", "overtaken", "called-back"}

// note counts a word and prints it.
func (d *departures) note(w word, instance string, attributes ...any) {
	d.counts[w].Add(1)
	if d.notice != nil {
		d.notice("backend "+wordNames[w], append([]any{"instance", instance}, attributes...)...)
	}
}

// announced compares a backend before and after an announcement.
func (d *departures) announced(a roster.Announcement, before, after roster.Entry) {
	attributes := []any{"count", a.Count, "state-leaving", a.Leaving}
	switch {
	case before.Leaving && !after.Leaving:
		d.note(wordCalledBack, a.Instance, append(attributes, "after", after.Heard.Sub(before.LeftAt))...)
	case !before.Leaving && after.Leaving:
		d.note(wordLeaving, a.Instance, attributes...)
	case before.Overtakes(a):
		d.note(wordOvertaken, a.Instance, attributes...)
	}
}

// left takes a word of leaving that is no announcement.
func (d *departures) left(instance string, known, before bool) {
	switch {
	case !known:
		d.note(wordUnknownLeft, instance, "by", "delete")
	case !before:
		d.note(wordLeaving, instance, "by", "delete")
	}
}
