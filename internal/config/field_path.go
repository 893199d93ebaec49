package config

import "strconv"

// fieldPath is the path of a field in a configuration, as a linked list from the field to the root.
// Each element is a name or, if the name is empty, an index within its parent. The text of a path
// is built only for a violation.
type fieldPath struct {
	parent *fieldPath
	name   string
	index  int
}

// String returns the path in the form of FieldViolation.Path.
func (p *fieldPath) String() string {
	switch {
	case p.parent == nil:
		return p.name
	case p.name != "":
		return p.parent.String() + "." + p.name
	}
	return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
}
