package style

// withdrawn are the words of the earlier vocabulary that names must not use any more; a
// plural counts as well. Words that are also ordinary terms of the field (mark, place,
// hold, line, copy, ...) are not among them: whether they fit is for review. The terms
// that replace these are in docs/GLOSSARY.md.
var withdrawn = []string{
	// Configuration and its revisions: control state, revision, endpoint group.
	"word", "stamp", "heed", "portion", "emptied", "emptying", "aim",
	// Consensus: replica, member, term, message, reply, commit.
	"core", "seat", "seated", "reseat", "slot", "epoch", "ballot", "vote", "keeper", "usher", "chair", "oath", "struck", "settle", "settled",
	// Processes and their messages: incarnation, update, heartbeat, suspicion, query.
	"boot", "born", "beat", "told", "heard", "hearsay", "felt", "rollcall", "seeker", "muster", "accuse", "accused", "accusation",
	"letter", "errand", "rumour", "crier", "steward", "warden", "mate", "fellow", "kin",
	// The singleton role: coordinator.
	"duty",
	// Keys and requests: key replication, reservation, inbound, outbound, attempt, outcome.
	"custody", "claim", "holding", "handed", "entrust", "near", "far", "leg", "inquiry", "inquirie", "receipt", "recall", "fate", "judgement",
	// Endpoints: registry, rate limiter, slow start, zone.
	"roster", "drip", "desk", "purse", "climb", "tally", "shun", "locality", "localitie",
	// Faults and repair.
	"trouble", "mishap", "standin", "herd", "mend", "mended",
}

// compatibilityNames are the identifiers, log messages and log attribute keys that keep a
// withdrawn word, each with the reason.
var compatibilityNames = map[string]string{
	"Beat":                "a setting's field, which --check prints by its name",
	"Shun":                "a setting's field, which --check prints by its name",
	"Slot":                "a setting's field, which --check prints by its name",
	"Slots":               "a setting's field, which --check prints by its name",
	"letter":              "a letter of the alphabet",
	"maxWaitersPerSlot":   "a backend's slot for one request, the usual word for it",
	"TestCancelFreesSlot": "a backend's slot for one request, the usual word for it",
}
