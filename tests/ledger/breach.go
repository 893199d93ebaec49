package ledger

// Rule names a rule of what must never happen, as the users' rules name it.
type Rule string

// The rules that the ledger judges.
const (
	RuleUnrequested Rule = "UNASKED" // a run of what nobody sent, or of an altered request
	RuleDuplicate   Rule = "TWICE"   // more runs than allowed
	RuleRoute       Rule = "ROUTE"   // a run at a wrong service
	RuleDrain       Rule = "DRAIN"   // a run at a backend that had left
	RuleEvacuation  Rule = "EVAC"    // a run in an evacuated zone
	RuleRefused     Rule = "REFUSED" // a run of what was promised not to run
	RuleWrongAnswer Rule = "MIXED"   // an answer that is not the backend's
	RuleRetryBudget Rule = "BUDGET"  // too many retries
)

// Breach is a broken rule. ID is the request's, empty if the breach is not of a single one.
type Breach struct {
	Rule Rule   `json:"rule"`
	ID   string `json:"request,omitempty"`
	Text string `json:"text"`
}

// String describes the breach in one line.
func (b Breach) String() string { return string(b.Rule) + ": " + b.Text }
