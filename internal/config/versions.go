package config

// The newest few versions are kept, and at least two of them however large they are.
const (
	keptVersions = 8       // (ours)
	keptBytes    = 1 << 20 // (ours)
)

// Versions are those of late, the newest last. The zero value has none.
type Versions struct {
	list []Version
	// made is the patch told last: mostly many are told the same.
	made  Patch
	short bool
}

// Add keeps a version as the newest, and lets the oldest go.
func (s *Versions) Add(v Version) {
	if _, ok := s.Find(v.Fingerprint); ok {
		return
	}
	s.list = append(s.list, v)
	size := 0
	for i := len(s.list) - 1; i >= 0; i-- {
		size += s.list[i].Size()
		if n := len(s.list) - i; n > keptVersions || n > 2 && size > keptBytes {
			s.list = append([]Version(nil), s.list[i+1:]...)
			return
		}
	}
}

// Find finds a version by its fingerprint.
func (s *Versions) Find(d Fingerprint) (Version, bool) {
	for _, v := range s.list {
		if v.Fingerprint == d {
			return v, true
		}
	}
	return Version{}, false
}

// Tell tells a version as its difference from the one with a fingerprint. False if that one
// is not kept, or the difference is too long to be worth it.
func (s *Versions) Tell(v Version, base Fingerprint) (Patch, bool) {
	if s.made.Result == v.Fingerprint && s.made.Base == base {
		return s.made, s.short
	}
	from, ok := s.Find(base)
	if !ok {
		return Patch{}, false
	}
	s.made, s.short = v.Against(from)
	return s.made, s.short
}

// Apply makes the version that a patch tells, of any of these.
func (s *Versions) Apply(p Patch) (Version, bool) {
	base, _ := s.Find(p.Base)
	return base.Apply(p)
}
