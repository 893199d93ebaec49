package controlplane

// ConfigurationUpdate is a configuration that an operator submits.
type ConfigurationUpdate struct {
	// Generation is the number that the operator gives the configuration, from 1 up. Zero means
	// none. A generation that is not above the highest accepted one is acknowledged and changes
	// nothing. If another configuration was accepted under that generation, the update is a
	// permanent conflict.
	Generation uint64
	// Configuration is the JSON encoding of a config.Configuration.
	Configuration []byte
	// Source is the document that the operator sent, if Configuration was translated from it.
	Source []byte
	// IfMatch, if not nil, is the revision that the newest configuration must have.
	IfMatch *uint64
}
