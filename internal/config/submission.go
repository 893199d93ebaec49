package config

// SubmissionViolations returns the violations for which a configuration is refused when it is
// submitted, although Parse accepts it. A stored configuration that an earlier version accepted may
// have them and stays in force.
func (c *Configuration) SubmissionViolations() []FieldViolation {
	v := validator{}
	list, seen := fieldPath{parent: &fieldPath{name: "$"}, name: "ways"}, map[routeMatch]int{}
	for i := range c.Routes {
		folded := c.Routes[i]
		folded.Host = FoldHost(folded.Host)
		v.uniqueMatches(&fieldPath{parent: &list, index: i}, &folded, i, seen)
	}
	return v.violations
}
