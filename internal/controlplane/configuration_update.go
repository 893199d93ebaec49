package controlplane

// ConfigurationUpdate is a configuration that an operator submits.
type ConfigurationUpdate struct {
	// Generation is the operator's own number of the configuration, from 1 up; zero if there is
	// none. A generation that is not above the highest accepted one is acknowledged and changes
	// nothing, unless another configuration was accepted under it: that is a conflict for good.
	Generation uint64
	// Configuration is the JSON document of a config.Configuration.
	Configuration []byte
	// Source is what the operator sent, if Configuration is a translation of it.
	Source []byte
	// IfMatch, if set, is the revision that the newest configuration must have.
	IfMatch *uint64
}
