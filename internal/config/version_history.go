package config

// The newest few versions are kept, and at least two of them however large they are.
const (
	maxVersions     = 8       // (ours)
	maxHistoryBytes = 1 << 20 // (ours)
)

// VersionHistory are those of late, the newest last. The zero value has none.
type VersionHistory struct {
	versions []Version
	// lastPatch is the patch told last: mostly many are told the same.
	lastPatch      Patch
	lastWorthwhile bool
}

// Add keeps a version as the newest, and lets the oldest go.
func (h *VersionHistory) Add(v Version) {
	if _, ok := h.Find(v.Fingerprint); ok {
		return
	}
	h.versions = append(h.versions, v)
	size := 0
	for i := len(h.versions) - 1; i >= 0; i-- {
		size += h.versions[i].Size()
		if n := len(h.versions) - i; n > maxVersions || n > 2 && size > maxHistoryBytes {
			h.versions = append([]Version(nil), h.versions[i+1:]...)
			return
		}
	}
}

// Find finds a version by its fingerprint.
func (h *VersionHistory) Find(d Fingerprint) (Version, bool) {
	for _, v := range h.versions {
		if v.Fingerprint == d {
			return v, true
		}
	}
	return Version{}, false
}

// PatchFrom tells a version as its difference from the one with a fingerprint. False if that one
// is not kept, or the difference is too long to be worth it.
func (h *VersionHistory) PatchFrom(v Version, base Fingerprint) (Patch, bool) {
	if h.lastPatch.Result == v.Fingerprint && h.lastPatch.Base == base {
		return h.lastPatch, h.lastWorthwhile
	}
	from, ok := h.Find(base)
	if !ok {
		return Patch{}, false
	}
	h.lastPatch, h.lastWorthwhile = v.DiffFrom(from)
	return h.lastPatch, h.lastWorthwhile
}

// Apply makes the version that a patch tells, of any of these.
func (h *VersionHistory) Apply(p Patch) (Version, bool) {
	base, _ := h.Find(p.Base)
	return base.Apply(p)
}
