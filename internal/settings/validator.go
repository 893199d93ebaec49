package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"curlewwalk/internal/config"
)

// maxSeeds is the maximum number of seeds, the addresses that a process contacts first.
const maxSeeds = 3

// validator collects violations, one line each. Only the first violation is printed.
type validator struct{ violations []string }

// addViolation records that a setting's value is not allowed.
func (v *validator) addViolation(field string, value any, allowed string) {
	v.violations = append(v.violations, fmt.Sprintf("%s %q: must be %s", field, fmt.Sprint(value), allowed))
}

// address checks that a value is an IP address and port. An empty value is valid if the setting is
// not required.
func (v *validator) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		v.addViolation(field, value, "an IP address and port such as 10.0.0.7:7400")
	}
}

// atLeast checks a lower bound.
func (v *validator) atLeast(field string, value, minimum int) {
	if value < minimum {
		v.addViolation(field, value, fmt.Sprintf("at least %d", minimum))
	}
}

// duration checks that a duration is from minimum to maximum, both inclusive.
func (v *validator) duration(field string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		v.addViolation(field, value, fmt.Sprintf("from %v to %v", minimum, formatBound(maximum)))
	}
}

// formatBound formats a bound as it is written in a setting: 1m rather than 1m0s.
func formatBound(d time.Duration) string {
	if minutes, ok := strings.CutSuffix(d.String(), "m0s"); ok {
		return minutes + "m"
	}
	return d.String()
}

// share checks that a share is from 0 to maxShare. NaN is a violation.
func (v *validator) share(field string, value, maxShare float64) {
	if !(value >= 0 && value <= maxShare) {
		v.addViolation(field, value, fmt.Sprintf("from 0 to %v", maxShare))
	}
}

// common checks the settings that both programs have.
func (v *validator) common(s *Common) {
	if !config.IsValidName(s.Zone) {
		v.addViolation("locality", s.Zone, config.NameRules)
	}
	v.address("wire", s.Wire, true)
	v.address("advertise", s.Advertise, false)
	v.address("control", s.Control, true)
	if len(s.Seeds) > maxSeeds {
		v.addViolation("seed", strings.Join(s.Seeds, " "), "at most three addresses")
	}
	for _, seed := range s.Seeds {
		v.address("seed", seed, true)
	}
	if s.Drain < 0 {
		v.addViolation("drain", s.Drain, "a duration of 0s or more")
	}
	v.atLeast("log-lines", s.LogLines, 1)
}
