package config

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// FoldHost returns equal strings for two hosts if and only if they are equal without regard to case,
// as by strings.EqualFold.
func FoldHost(host string) string {
	for i := range len(host) {
		if host[i] >= utf8.RuneSelf {
			return strings.Map(canonicalRune, host)
		}
	}
	return strings.ToLower(host)
}

// canonicalRune returns the representative of all runes that fold to r: the lower-case letter for
// ASCII letters, and otherwise the rune with the lowest code point.
func canonicalRune(r rune) rune {
	low := r
	for next := unicode.SimpleFold(r); next != r; next = unicode.SimpleFold(next) {
		low = min(low, next)
	}
	if 'A' <= low && low <= 'Z' {
		low += 'a' - 'A'
	}
	return low
}
