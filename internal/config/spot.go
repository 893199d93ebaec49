package config

import "strconv"

// spot is a place in a configuration: a name, or else an index, within another.
// It is put into words only where something is wrong.
type spot struct {
	up    *spot
	name  string
	index int
}

func (p *spot) text() string {
	switch {
	case p.up == nil:
		return p.name
	case p.name != "":
		return p.up.text() + "." + p.name
	}
	return p.up.text() + "[" + strconv.Itoa(p.index) + "]"
}
