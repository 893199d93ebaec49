package config

// NameRules describes valid names in validation messages.
const NameRules = "a name of lower-case letters, digits, '.', '_', '-', at most 63"

const (
	maxNameLength   = 63
	maxMethodLength = 20
)

// IsValidName reports whether s is a valid name of a route, contract, service or zone.
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

// isValidMethod reports whether s is a valid HTTP method.
func isValidMethod(s string) bool {
	for i := range len(s) {
		if s[i] < 'A' || s[i] > 'Z' {
			return false
		}
	}
	return len(s) >= 1 && len(s) <= maxMethodLength
}
