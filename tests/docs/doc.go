// Package docs tests the pages under docs/ against the code: a name or a path that a page
// quotes must exist.
package docs
