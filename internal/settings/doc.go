// Package settings reads and validates a program's settings, from a file and from flags; a flag wins
// over the file. (DESIGN 11)
//
// A setting's name is that of its struct tag, in the file, as a flag and in messages alike.
// docs/OPERATING.md lists all of them; a test holds the page to these structs.
package settings
