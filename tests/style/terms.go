package style

// withdrawn are the words of the earlier vocabulary that names must not contain, in the singular or
// the plural. Words that are also ordinary terms of the field (mark, place, hold, line, copy,
// ...) are not listed, because only a review can tell whether they fit. The terms that
// replace the withdrawn words are in docs/GLOSSARY.md.
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
	// Figurative words of various parts.
	"riddle", "cutshort", "hopeless", "postpone", "stranger", "briefly", "faithful", "bearable", "foreign",
	"overtaken", "doubted", "narrative", "blackout", "whole", "quiet",
}

// compatibilityNames are the identifiers, log messages and log attribute keys that may contain a
// withdrawn word, each with the reason.
var compatibilityNames = map[string]string{
	"Beat":                "the field of a setting, printed by --check under this name",
	"Shun":                "the field of a setting, printed by --check under this name",
	"Slot":                "the field of a setting, printed by --check under this name",
	"Slots":               "the field of a setting, printed by --check under this name",
	"letter":              "a letter of the alphabet",
	"maxWaitersPerSlot":   "a backend's capacity for one request, for which slot is the usual term",
	"TestCancelFreesSlot": "a backend's capacity for one request, for which slot is the usual term",
}
