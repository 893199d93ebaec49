package config

import "strconv"

// fieldPath is the path of a field in a configuration, as a list from the field upwards: each
// element is a name, or else an index, within its parent. Its text is made only for a violation.
type fieldPath struct {
	parent *fieldPath
	name   string
	index  int
}

// String returns the path as FieldViolation.Path has it.
func (p *fieldPath) String() string {
	switch {
	case p.parent == nil:
		return p.name
	case p.name != "":
		return p.parent.String() + "." + p.name
	}
	return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
}
