package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"curlewwalk/internal/config"
)

// maxSeeds bounds the addresses that a process asks first.
const maxSeeds = 3

// validator collects violations, a line each. The first one is what is printed.
type validator struct{ violations []string }

// addViolation adds that a setting has a value which it must not have.
func (v *validator) addViolation(field string, value any, allowed string) {
	v.violations = append(v.violations, fmt.Sprintf("%s %q: must be %s", field, fmt.Sprint(value), allowed))
}

// address checks an IP address and port.
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

// duration checks both bounds of a duration, which are inclusive.
func (v *validator) duration(field string, value, minimum, maximum time.Duration) {
	if value < minimum || value > maximum {
		v.addViolation(field, value, fmt.Sprintf("from %v to %v", minimum, formatBound(maximum)))
	}
}

// formatBound formats a bound as a setting would be written: 1m in place of 1m0s.
func formatBound(d time.Duration) string {
	if minutes, whole := strings.CutSuffix(d.String(), "m0s"); whole {
		return minutes + "m"
	}
	return d.String()
}

// share checks that a share is from 0 to maxShare; NaN is not.
func (v *validator) share(field string, value, maxShare float64) {
	if !(value >= 0 && value <= maxShare) {
		v.addViolation(field, value, fmt.Sprintf("from 0 to %v", maxShare))
	}
}

// common checks the settings of both programs.
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
