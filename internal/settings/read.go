package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Version is the version that --version prints.
const Version = "curlewwalk 0.1"

// codeInvalid is the exit code over settings that are not valid.
const codeInvalid = 2

// read fills settings, a pointer to a struct, from the file that args name and from args, and
// validates them. common is the part of settings that both programs have.
func read(program string, settings any, common *Common, args []string, groups []Group, validate func(*validator)) Exit {
	parser := newParser(program, settings, groups)
	if err := parseArgs(parser, args); err != nil {
		var help *flags.Error
		if errors.As(err, &help) && help.Type == flags.ErrHelp {
			return Exit{Now: true, Text: err.Error()}
		}
		return invalid(program, err.Error())
	}
	if common.Version {
		return Exit{Now: true, Text: Version}
	}
	if err := parseFile(parser, common.File, args); err != nil {
		return invalid(program, err.Error())
	}
	for _, group := range groups {
		if group.Apply != nil {
			group.Apply(settings)
		}
	}
	v := &validator{}
	v.common(common)
	validate(v)
	if len(v.violations) > 0 {
		return invalid(program, v.violations[0])
	}
	if common.Advertise == "" {
		common.Advertise = common.Wire
	}
	if common.Check {
		return Exit{Now: true, Text: fmt.Sprintf("%s: settings are good: %+v", program, settings)}
	}
	return Exit{}
}

// newParser makes the parser of a program's settings and of further groups. It panics if a struct's
// tags are wrong, which no input can cause.
func newParser(program string, settings any, groups []Group) *flags.Parser {
	parser := flags.NewNamedParser(program, flags.HelpFlag|flags.PassDoubleDash)
	if _, err := parser.AddGroup("Settings", "", settings); err != nil {
		panic(err)
	}
	for _, group := range groups {
		if _, err := parser.AddGroup(group.Name, "", group.Data); err != nil {
			panic(err)
		}
	}
	return parser
}

// parseArgs parses flags; an argument that is no flag is an error.
func parseArgs(parser *flags.Parser, args []string) error {
	rest, err := parser.ParseArgs(args)
	if err == nil && len(rest) > 0 {
		err = fmt.Errorf("%q: no such argument", rest[0])
	}
	return err
}

// parseFile parses a settings file, if there is one, and then the flags again, so that a flag wins
// over the file.
func parseFile(parser *flags.Parser, name string, args []string) error {
	if name == "" {
		return nil
	}
	if err := flags.NewIniParser(parser).ParseFile(name); err != nil {
		return err
	}
	return parseArgs(parser, args)
}

// invalid is the exit over settings that are not valid, with its text on one line.
func invalid(program, text string) Exit {
	return Exit{Now: true, Code: codeInvalid, Text: program + ": settings: " + strings.ReplaceAll(text, "\n", "; ")}
}
