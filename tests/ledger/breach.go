package ledger

// Rule is the name of a safety rule, as the users' rules spell it.
type Rule string

// The rules that Judge checks.
const (
	RuleUnrequested Rule = "UNASKED" // a run of a request that was never sent or was altered
	RuleDuplicate   Rule = "TWICE"   // more runs of a request than allowed
	RuleRoute       Rule = "ROUTE"   // a run at a backend of the wrong service
	RuleDrain       Rule = "DRAIN"   // a run at a backend more than 2 s after it announced leaving
	RuleEvacuation  Rule = "EVAC"    // a run in a zone more than 5 s after its evacuation
	RuleRefused     Rule = "REFUSED" // a run of a request whose answer said that it was not run
	RuleWrongAnswer Rule = "MIXED"   // an answer that differs from the backend's, or that no backend gave
	RuleRetryBudget Rule = "BUDGET"  // more retries than the retry budget allows
)

// Breach is a violation of a rule. ID identifies the request; it is empty if the breach does
// not concern a single request.
type Breach struct {
	Rule Rule   `json:"rule"`
	ID   string `json:"request,omitempty"`
	Text string `json:"text"`
}

// String returns the rule and the description in one line.
func (b Breach) String() string { return string(b.Rule) + ": " + b.Text }
