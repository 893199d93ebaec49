package config

// WeightedService is a service that receives a share of the requests of a route.
//
//easyjson:json
type WeightedService struct {
	UnknownFields
	Service string `json:"service"`
	// Weight divided by the sum of the weights of the route is the share of the service.
	Weight int `json:"weight"`
}
