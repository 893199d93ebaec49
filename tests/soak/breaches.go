package soak

import (
	"fmt"
	"sync"

	"curlewwalk/tests/ledger"
)

// The rules that the soak judges beside the ledger's.
const (
	ruleLost        ledger.Rule = "LOST"    // a request that was accepted got no answer
	ruleAbandoned   ledger.Rule = "GONE"    // work for clients that have abandoned their requests
	ruleConfig      ledger.Rule = "CONFIG"  // a configuration is late, old or another one
	ruleDenied      ledger.Rule = "DENIED"  // valid requests are rejected for good
	ruleAcknowledge ledger.Rule = "DUTY"    // a command, or a departure, is not acknowledged
	ruleRecover     ledger.Rule = "RECOVER" // service does not return
	ruleStop        ledger.Rule = "STOP"    // a process does not end in order
	ruleStart       ledger.Rule = "START"   // a process does not start
)

// breaches are those that were found while the run went on.
type breaches struct {
	mu  sync.Mutex
	all []ledger.Breach
}

// breach records a broken rule.
func (r *Run) breach(rule ledger.Rule, id, format string, args ...any) {
	b := ledger.Breach{Rule: rule, ID: id, Text: fmt.Sprintf(format, args...)}
	r.breaches.mu.Lock()
	r.breaches.all = append(r.breaches.all, b)
	r.breaches.mu.Unlock()
	r.logf("BROKEN %v", b)
}
