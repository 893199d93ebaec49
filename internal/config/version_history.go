package config

import "slices"

const (
	// maxVersions is how many versions a history keeps.
	maxVersions = 8 // (ours)
	// maxHistoryBytes is how many bytes they may have together; minVersions are kept however
	// large they are.
	maxHistoryBytes = 1 << 20 // (ours)
	minVersions     = 2
)

// VersionHistory keeps the latest versions of a document to make patches from. The zero value is
// empty. It is not safe for concurrent use.
type VersionHistory struct {
	versions []Version // the newest last
	// lastPatch is the last result of PatchFrom: it is often asked for again at once.
	lastPatch      Patch
	lastWorthwhile bool
}

// Add keeps v as the newest version, unless it is there already, and drops the oldest ones that are
// too many.
func (h *VersionHistory) Add(v Version) {
	if _, ok := h.Find(v.Fingerprint); ok {
		return
	}
	h.versions = append(h.versions, v)
	size := 0
	for i := len(h.versions) - 1; i >= 0; i-- {
		size += h.versions[i].Size()
		if n := len(h.versions) - i; n > maxVersions || n > minVersions && size > maxHistoryBytes {
			h.versions = slices.Clone(h.versions[i+1:])
			return
		}
	}
}

// Find returns the version with a fingerprint.
func (h *VersionHistory) Find(f Fingerprint) (Version, bool) {
	for _, v := range h.versions {
		if v.Fingerprint == f {
			return v, true
		}
	}
	return Version{}, false
}

// PatchFrom returns the patch that makes v from the version with the fingerprint base. worthwhile is
// false if that version is not kept, or the patch is longer than half of v.
func (h *VersionHistory) PatchFrom(v Version, base Fingerprint) (patch Patch, worthwhile bool) {
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

// Apply returns the version that a patch makes from one of the history; ok is false as with
// Version.Apply.
func (h *VersionHistory) Apply(p Patch) (result Version, ok bool) {
	base, _ := h.Find(p.Base)
	return base.Apply(p)
}
