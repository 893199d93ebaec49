package config

// Configuration is the document that the operator submits. If Services is empty, routes may lead to
// any service. Otherwise they may lead only to the listed services.
//
//easyjson:json
type Configuration struct {
	UnknownFields
	Routes    []Route    `json:"ways"`
	Contracts []Contract `json:"contracts"`
	Services  []Service  `json:"services,omitempty"`
	Limits    Limits     `json:"limits,omitempty"`
}
