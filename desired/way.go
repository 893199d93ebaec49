package desired

// Way is one route: which inquiries go to which service, under which contract.
//
//easyjson:json
type Way struct {
	Stray
	Name    string   `json:"name"`
	Host    string   `json:"host,omitempty"`
	Prefix  string   `json:"prefix"`
	Methods []string `json:"methods,omitempty"`
	Service string   `json:"service"`
	// Contract names the contract that the way's inquiries run under.
	Contract string `json:"contract"`
	// Repeatable says that running an inquiry twice does no harm.
	Repeatable bool `json:"repeatable,omitempty"`
}
