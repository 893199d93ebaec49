package config

import "testing"

// BenchmarkParse reads configurations as big as ours come.
func BenchmarkParse(b *testing.B) {
	for name, n := range map[string]int{"310": 310, "3000": 3000} {
		text := sampleConfiguration(n).Bytes()
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(text)))
			for range b.N {
				if _, faults, ok := Parse(text); !ok || len(faults) > 0 {
					b.Fatal(ok, faults)
				}
			}
		})
	}
}
