package ledger

// Rule names what must never happen, as the users' rules name it.
type Rule string

// The rules that the ledger judges.
const (
	RuleUnrequested Rule = "UNASKED" // a run that nobody asked for, or that was altered
	RuleDuplicate   Rule = "TWICE"   // more runs than allowed
	RuleRoute       Rule = "ROUTE"   // a run at a wrong service
	RuleDrain       Rule = "DRAIN"   // a run at a backend that had left
	RuleEvacuation  Rule = "EVAC"    // a run in an emptied zone
	RuleRefused     Rule = "REFUSED" // a run of what was promised not to run
	RuleWrongAnswer Rule = "MIXED"   // an answer that is not the backend's
	RuleRetryBudget Rule = "BUDGET"  // too many further tries
)

// Breach is a rule that was broken. ID is the request's, empty if it is of none.
type Breach struct {
	Rule Rule   `json:"rule"`
	ID   string `json:"request,omitempty"`
	Text string `json:"text"`
}

// String tells the breach in a line.
func (b Breach) String() string { return string(b.Rule) + ": " + b.Text }
