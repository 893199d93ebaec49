package boot

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Version is the version that --version prints.
const Version = "curlewwalk 0.1"

// read fills settings from the file that args name, then from args, and checks.
func read(program string, settings any, common *Common, args []string, groups []Group, check func(*checker)) Exit {
	p := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := p.AddGroup("Settings", "", settings); err != nil {
		panic(err) // the settings' own tags are wrong
	}
	for _, g := range groups {
		if _, err := p.AddGroup(g.Name, "", g.Data); err != nil {
			panic(err)
		}
	}
	fail := func(text string) Exit {
		return Exit{Now: true, Code: 2, Text: program + ": settings: " + strings.ReplaceAll(text, "\n", "; ")}
	}
	parse := func() error {
		rest, err := p.ParseArgs(args)
		if err == nil && len(rest) > 0 {
			err = fmt.Errorf("%q: no such argument", rest[0])
		}
		return err
	}
	var help *flags.Error
	if err := parse(); errors.As(err, &help) && help.Type == flags.ErrHelp {
		return Exit{Now: true, Text: err.Error()}
	} else if err != nil {
		return fail(err.Error())
	}
	if common.Version {
		return Exit{Now: true, Text: Version}
	}
	if common.File != "" {
		if err := flags.NewIniParser(p).ParseFile(common.File); err != nil {
			return fail(err.Error())
		}
		if err := parse(); err != nil {
			return fail(err.Error())
		}
	}
	for _, g := range groups {
		if g.Fill != nil {
			g.Fill(settings)
		}
	}
	c := &checker{}
	c.common(common)
	check(c)
	if len(c.faults) > 0 {
		return fail(c.faults[0])
	}
	if common.Advertise == "" {
		common.Advertise = common.Wire
	}
	if common.Check {
		return Exit{Now: true, Text: fmt.Sprintf("%s: settings are good: %+v", program, settings)}
	}
	return Exit{}
}
