package settings

import (
	"errors"
	"fmt"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Version is the version that --version prints.
const Version = "curlewwalk 0.1"

// exitCodeInvalid is the exit code for invalid settings.
const exitCodeInvalid = 2

// read fills settings, a pointer to a struct, from args and from the settings file that args name,
// and validates the result. common points to the embedded Common of settings.
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

// newParser returns a parser for a program's settings and for additional groups. It panics if the
// tags of a struct are malformed, which no input can cause.
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

// parseArgs parses flags. It returns an error if an argument is not a flag.
func parseArgs(parser *flags.Parser, args []string) error {
	remaining, err := parser.ParseArgs(args)
	if err == nil && len(remaining) > 0 {
		err = fmt.Errorf("unexpected argument %q", remaining[0])
	}
	return err
}

// parseFile parses the settings file called name, and then parses the flags again, so that a flag
// overrides the file. It does nothing if name is empty.
func parseFile(parser *flags.Parser, name string, args []string) error {
	if name == "" {
		return nil
	}
	if err := flags.NewIniParser(parser).ParseFile(name); err != nil {
		return err
	}
	return parseArgs(parser, args)
}

// invalid returns the Exit for invalid settings. It joins the lines of text into one.
func invalid(program, text string) Exit {
	return Exit{Now: true, Code: exitCodeInvalid, Text: program + ": settings: " + strings.ReplaceAll(text, "\n", "; ")}
}
