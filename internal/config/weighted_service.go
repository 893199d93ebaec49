package config

// WeightedService is a service's part of a way's requests.
//
//easyjson:json
type WeightedService struct {
	UnknownFields
	Service string `json:"service"`
	// Weight counts against the sum of the way's weights.
	Weight int `json:"weight"`
}
