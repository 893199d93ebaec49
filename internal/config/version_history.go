package config

import "slices"

const (
	// maxVersions is the number of versions that a history keeps.
	maxVersions = 8
	// maxHistoryBytes bounds the total size of the kept versions. The newest minVersions versions
	// are kept regardless of their size.
	maxHistoryBytes = 1 << 20
	minVersions     = 2
)

// VersionHistory keeps the latest versions of a document as bases of patches. The zero value is an
// empty history. VersionHistory is not safe for concurrent use.
type VersionHistory struct {
	versions []Version // from oldest to newest
	// lastPatch caches the last result of PatchFrom, which is often requested several times in a
	// row.
	lastPatch      Patch
	lastWorthwhile bool
}

// Add adds v as the newest version, unless the history already contains it, and drops the oldest
// versions beyond the bounds.
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

// Find returns the version with the given fingerprint.
func (h *VersionHistory) Find(f Fingerprint) (Version, bool) {
	for _, v := range h.versions {
		if v.Fingerprint == f {
			return v, true
		}
	}
	return Version{}, false
}

// PatchFrom returns the patch that produces v from the version with the fingerprint base.
// worthwhile is false if the history does not contain that version, or if the patch is longer than
// half of v.
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

// Apply returns the version that a patch produces from a version of the history. ok is false if the
// history does not contain the base, or if Version.Apply fails.
func (h *VersionHistory) Apply(p Patch) (result Version, ok bool) {
	base, _ := h.Find(p.Base)
	return base.Apply(p)
}
