package style

import (
	"fmt"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
)

// OriginMark is a comment's mark that says only how a value was found. Comments give the reason for
// a value instead.
type OriginMark struct {
	// Text is the mark, in one line.
	Text string
	// Position is the position of the mark.
	Position token.Position
}

// String returns a one-line description of the mark.
func (m OriginMark) String() string {
	return fmt.Sprintf("%s: the comment contains the mark %q", m.Position, m.Text)
}

// originMarks matches the marks. A mark may be continued on the next line of a comment, and may be
// in upper case. The words alone are not marks.
var originMarks = regexp.MustCompile(strings.ReplaceAll(
	`(?i)\(_*(?:ours|measured|chosen|tuned)_*\)|\bmeasured,_+not_+chosen\b|\bchosen,_+not_+measured\b`,
	"_", `[\s/*]`))

// FindOriginMarks returns the marks in all comments of the Go files below root, those of generated
// files too.
func FindOriginMarks(root string) ([]OriginMark, error) {
	var marks []OriginMark
	err := eachGoFile(root, func(name, path string) error {
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found, err := marksInFile(name, source)
		marks = append(marks, found...)
		return err
	})
	return marks, err
}

// marksInFile returns the marks in the comments of one file. name is the file name in positions.
func marksInFile(name string, source []byte) ([]OriginMark, error) {
	files := token.NewFileSet()
	syntax, err := parser.ParseFile(files, name, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return nil, fmt.Errorf("parse %s: %w", name, err)
	}
	file := files.File(syntax.FileStart)
	var marks []OriginMark
	for _, group := range syntax.Comments {
		start := file.Offset(group.Pos())
		text := source[start:file.Offset(group.End())]
		for _, match := range originMarks.FindAllIndex(text, -1) {
			parts := strings.FieldsFunc(string(text[match[0]:match[1]]), func(r rune) bool { return strings.ContainsRune(" \t\r\n/*", r) })
			marks = append(marks, OriginMark{
				Text:     strings.Join(parts, " "),
				Position: files.PositionFor(file.Pos(start+match[0]), false),
			})
		}
	}
	return marks, nil
}
