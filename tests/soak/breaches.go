package soak

import (
	"fmt"
	"sync"

	"curlewwalk/tests/ledger"
)

// The rules that the soak judges in addition to the rules of the ledger. Each comment says how the
// rule is broken.
const (
	ruleLost        ledger.Rule = "LOST"    // an accepted request gets no answer
	ruleAbandoned   ledger.Rule = "GONE"    // work continues on requests that clients have abandoned
	ruleConfig      ledger.Rule = "CONFIG"  // a configuration is late, outdated, altered, or wrongly accepted or refused
	ruleDenied      ledger.Rule = "DENIED"  // valid requests are rejected with a final status
	ruleAcknowledge ledger.Rule = "DUTY"    // a command or a departure is not acknowledged in time
	ruleRecover     ledger.Rule = "RECOVER" // service is not restored in time
	ruleStop        ledger.Rule = "STOP"    // a process does not stop with exit code 0 in its grace time
	ruleStart       ledger.Rule = "START"   // a process does not start, or its files cannot be prepared
)

// breaches collects the breaches that are found while the run is in progress.
type breaches struct {
	mu  sync.Mutex
	all []ledger.Breach
}

// breach records and logs a breach of a rule. The id is that of the request, or empty if the breach
// concerns no single request.
func (r *Run) breach(rule ledger.Rule, id, format string, args ...any) {
	b := ledger.Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)}
	r.breaches.mu.Lock()
	r.breaches.all = append(r.breaches.all, b)
	r.breaches.mu.Unlock()
	r.logf("BROKEN %v", b)
}
