package scale

import (
	"fmt"
	"math"
)

// slack is how many messages a second a kind may differ by whatever the tolerance: a
// window cuts off a message at either end.
const slack = 0.2

// Compare tells where hollow nodes differ from real ones at rest by more than the
// tolerance. Kinds that depend on how many a node happens to watch are brought to the
// same number first: watchedReal and watchedHollow are how many a node of each watches.
func Compare(hollow, real Line, tolerance, watchedReal, watchedHollow float64, skip ...string) (out []string) {
	left := map[string]bool{}
	for _, k := range skip {
		left[k] = true
	}
	side := func(name string, h, r map[string]Rate, scaled string) {
		for _, kind := range kinds(h, r) {
			a, b := h[kind], r[kind]
			if left[kind] {
				continue
			}
			if kind == scaled && watchedHollow > 0 { // real ones may happen to watch nobody
				by := watchedReal / watchedHollow
				a = Rate{a.Calls * by, a.CallBytes * by, a.Responses * by, a.ResponseBytes * by}
			}
			for _, c := range []struct {
				what string
				a, b float64
				each float64 // bytes of a message
			}{
				{"calls", a.Calls, b.Calls, 1},
				{"bytes of calls", a.CallBytes, b.CallBytes, each(b.CallBytes, b.Calls, a.CallBytes, a.Calls)},
				{"receipts", a.Responses, b.Responses, 1},
				{"bytes of receipts", a.ResponseBytes, b.ResponseBytes, each(b.ResponseBytes, b.Responses, a.ResponseBytes, a.Responses)},
			} {
				if math.Abs(c.a-c.b) > tolerance*math.Max(c.a, c.b)+slack*c.each {
					out = append(out, fmt.Sprintf("%s %s: %s a second: hollow %.2f, real %.2f", name, kind, c.what, c.a, c.b))
				}
			}
		}
	}
	side("net", hollow.Net, real.Net, "probe")
	side("host", hollow.Host, real.Host, "")
	return out
}

func each(bytes, n, otherBytes, other float64) float64 {
	return math.Max(bytes/math.Max(n, 1e-9), otherBytes/math.Max(other, 1e-9))
}
