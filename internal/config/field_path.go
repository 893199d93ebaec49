package config

import "strconv"

// fieldPath is a place in a configuration: a name, or else an index, within another.
// It is put into words only where something is wrong.
type fieldPath struct {
	parent *fieldPath
	name   string
	index  int
}

func (p *fieldPath) String() string {
	switch {
	case p.parent == nil:
		return p.name
	case p.name != "":
		return p.parent.String() + "." + p.name
	}
	return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
}
