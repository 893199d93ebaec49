// Package docs tests the pages under docs/ against the code: a name or a path that a page
// quotes must exist, and so must the sections of the design page that anything cites.
package docs
