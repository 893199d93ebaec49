package config

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// sampleConfiguration returns a configuration of n routes and services.
func sampleConfiguration(n int) Configuration {
	configuration := Configuration{
		Contracts: []Contract{
			{Name: "quick", LatencyTarget: Duration{Duration: 500 * time.Microsecond}, Deadline: Duration{Duration: time.Millisecond}, Priority: 1},
			{Name: "slow", LatencyTarget: Duration{Duration: time.Second}, Deadline: Duration{Duration: 90 * time.Second}, Priority: 9},
		},
		Limits: Limits{
			MaxHeaderBytes:    16 << 10,
			MaxBodyBytes:      1 << 20,
			ReadHeaderTimeout: Duration{Duration: 5 * time.Second},
			IdleTimeout:       Duration{Duration: time.Minute},
		},
	}
	for i := range n {
		s := Service{Name: fmt.Sprintf("service-%d", i), MaxConnections: i}
		if i%2 == 0 {
			s.SlowStart = &SlowStart{Period: Duration{Duration: 3 * time.Second}, RequestsPerSecond: 9.3}
		}
		configuration.Services = append(configuration.Services, s)
		route := Route{Name: fmt.Sprintf("way-%d", i), Host: fmt.Sprintf("host-%d.example", i%40), Prefix: fmt.Sprintf("/some/where/%d/<&>", i), Contract: "quick"}
		switch i % 3 {
		case 0:
			route.Service = s.Name
		case 1:
			route.Split, route.MaxAttempts = []WeightedService{{Service: s.Name, Weight: 95}, {Service: "service-0", Weight: 5}}, 1
		default:
			route.Service, route.Methods, route.Contract, route.Idempotent = s.Name, []string{"GET", "HEAD"}, "slow", true
		}
		configuration.Routes = append(configuration.Routes, route)
	}
	return configuration
}

// An encoded configuration parses to an equal configuration.
func TestConfigurationRoundTrip(t *testing.T) {
	for name, configuration := range map[string]Configuration{
		"empty":     {},
		"one route": {Contracts: sampleConfiguration(1).Contracts, Routes: sampleConfiguration(1).Routes},
		"all":       sampleConfiguration(40),
	} {
		t.Run(name, func(t *testing.T) {
			text := configuration.Bytes()
			got, violations, ok := Parse(text)
			if !ok || len(violations) > 0 {
				t.Errorf("got violations %v in %s, want none", violations, text)
			}
			if d := cmp.Diff(configuration, got, cmpopts.IgnoreUnexported(UnknownFields{}), cmpopts.EquateEmpty()); d != "" {
				t.Error(d)
			}
		})
	}
}
