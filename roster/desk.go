package roster

import "sync/atomic"

// Desk counts a backend's open inquiries.
type Desk struct{ open atomic.Int64 }

// Open is how many there are.
func (d *Desk) Open() int64 { return d.open.Load() }

// take opens one unless there are limit already.
func (d *Desk) take(limit int64) bool {
	for {
		n := d.open.Load()
		if n >= limit {
			return false
		}
		if d.open.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// give closes one.
func (d *Desk) give() { d.open.Add(-1) }
