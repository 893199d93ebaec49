package ledger

import "fmt"

// spread returns, by service, the highest and the mean number of runs of its backends, as text.
func (l *Ledger) spread() map[string]string {
	runs := map[string]map[string]int{}
	for _, list := range l.ran {
		for _, r := range list {
			if runs[r.Service] == nil {
				runs[r.Service] = map[string]int{}
			}
			runs[r.Service][r.Instance]++
		}
	}
	out := map[string]string{}
	for service, by := range runs {
		most, sum := 0, 0
		for _, n := range by {
			most, sum = max(most, n), sum+n
		}
		out[service] = fmt.Sprintf("most %d, mean %d", most, sum/len(by))
	}
	return out
}
