package config

// NameRules describes valid names in validation messages.
const NameRules = "a name of lower-case letters, digits, '.', '_', '-', at most 63"

// Maximum lengths in bytes.
const (
	maxNameLength   = 63
	maxMethodLength = 20
)

// IsValidName reports whether s is a valid name of a route, contract, service or zone: it meets
// NameRules, has at least one character, and begins with a letter or a digit.
func IsValidName(s string) bool {
	for i := range len(s) {
		c := s[i]
		letter, digit := 'a' <= c && c <= 'z', '0' <= c && c <= '9'
		if !letter && !digit && (i == 0 || c != '.' && c != '_' && c != '-') {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= maxNameLength
}

// isValidMethod reports whether a route may list s as an HTTP method. Only upper-case ASCII letters
// are allowed, which is narrower than the HTTP grammar.
func isValidMethod(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= maxMethodLength
}
