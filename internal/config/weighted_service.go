package config

// WeightedService is a service that gets a part of a route's requests.
//
//easyjson:json
type WeightedService struct {
	UnknownFields
	Service string `json:"service"`
	// Weight divided by the sum of the route's weights is its part.
	Weight int `json:"weight"`
}
