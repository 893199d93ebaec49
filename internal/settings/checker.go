package settings

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"curlewwalk/internal/config"
)

// checker collects what is wrong with settings.
type checker struct{ faults []string }

func (c *checker) addFault(field string, value any, allowed string) {
	c.faults = append(c.faults, fmt.Sprintf("%s %q: must be %s", field, fmt.Sprint(value), allowed))
}

func (c *checker) address(field, value string, required bool) {
	if value == "" && !required {
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.addFault(field, value, "an IP address and port such as 10.0.0.7:7400")
	}
}

func (c *checker) atLeast(field string, value, least int) {
	if value < least {
		c.addFault(field, value, fmt.Sprintf("at least %d", least))
	}
}

// duration checks that a duration is within bounds.
func (c *checker) duration(field string, value, least, most time.Duration) {
	if value < least || value > most {
		c.addFault(field, value, fmt.Sprintf("from %v to %v", least, formatBound(most)))
	}
}

// formatBound formats a bound as a setting would be written: 1m in place of 1m0s.
func formatBound(d time.Duration) string {
	if minutes, whole := strings.CutSuffix(d.String(), "m0s"); whole {
		return minutes + "m"
	}
	return d.String()
}

// share checks that a share is from 0 to a bound; NaN is not.
func (c *checker) share(field string, value, most float64) {
	if !(value >= 0 && value <= most) {
		c.addFault(field, value, fmt.Sprintf("from 0 to %v", most))
	}
}

func (c *checker) common(s *Common) {
	if !config.IsValidName(s.Zone) {
		c.addFault("locality", s.Zone, config.NameRules)
	}
	c.address("wire", s.Wire, true)
	c.address("advertise", s.Advertise, false)
	c.address("control", s.Control, true)
	if len(s.Seeds) > 3 {
		c.addFault("seed", strings.Join(s.Seeds, " "), "at most three addresses")
	}
	for _, a := range s.Seeds {
		c.address("seed", a, true)
	}
	if s.Drain < 0 {
		c.addFault("drain", s.Drain, "a duration of 0s or more")
	}
	c.atLeast("log-lines", s.LogLines, 1)
}
