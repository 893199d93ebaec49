package config

import "testing"

// TestSubmissionViolations guards against two routes that take the same requests because their hosts
// differ in case only. A stored configuration with such routes must still be readable.
func TestSubmissionViolations(t *testing.T) {
	const contracts = `"contracts": [{"name": "c", "aim": "1s", "expiry": "2s", "rank": 1}]`
	for name, c := range map[string]struct {
		first, second string
		violations    int
	}{
		"other hosts":                      {`"host": "a.example", "prefix": "/x/"`, `"host": "b.example", "prefix": "/x/"`, 0},
		"other prefixes":                   {`"host": "a.example", "prefix": "/x/"`, `"host": "A.example", "prefix": "/X/"`, 0},
		"other methods":                    {`"host": "a.example", "prefix": "/x/", "methods": ["GET"]`, `"host": "A.example", "prefix": "/x/", "methods": ["PUT"]`, 0},
		"a host in other letters":          {`"host": "a.example", "prefix": "/x/"`, `"host": "A.Example", "prefix": "/x/"`, 1},
		"a host in other letters, methods": {`"host": "a.example", "prefix": "/x/", "methods": ["GET", "PUT"]`, `"host": "A.example", "prefix": "/x/", "methods": ["PUT"]`, 1},
	} {
		t.Run(name, func(t *testing.T) {
			document := `{"ways": [{"name": "1", "service": "s", "contract": "c", ` + c.first + `}, {"name": "2", "service": "s", "contract": "c", ` + c.second + `}], ` + contracts + `}`
			configuration, violations, ok := Parse([]byte(document))
			if !ok || len(violations) > 0 {
				t.Fatalf("Parse reports %v", violations)
			}
			if got := configuration.SubmissionViolations(); len(got) != c.violations {
				t.Errorf("got violations %v, want %d", got, c.violations)
			}
		})
	}
}
