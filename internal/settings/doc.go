// Package settings reads a program's settings from a file and from flags, and validates them. A flag
// overrides the file. (DESIGN 11)
//
// The struct tag of a field gives the setting's name, which is the same in the file, on the command
// line and in messages. docs/OPERATING.md lists all settings; a test compares that page with the
// structs.
package settings
