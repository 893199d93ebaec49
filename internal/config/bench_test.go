package config

import "testing"

// BenchmarkParse parses configurations of typical sizes: 310 routes of a small site and 3000 of a
// large one.
func BenchmarkParse(b *testing.B) {
	for name, n := range map[string]int{"310": 310, "3000": 3000} {
		text := sampleConfiguration(n).Bytes()
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for range b.N {
				if _, violations, ok := Parse(text); !ok || len(violations) > 0 {
					b.Fatal(ok, violations)
				}
			}
		})
	}
}
