package actor

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

var (
	// heading is a chapter's, or a section's first words.
	heading = regexp.MustCompile(`(?m)^(?:## ([0-9]+) |([0-9]+\.[0-9]+) )`)
	// cited is a list of numbers behind the page's name, also over the end of a line.
	cited = regexp.MustCompile(`DESIGN(?:\s|//)+([0-9]+(?:\.[0-9]+)?(?:(?:,| and)(?:\s|//)+[0-9]+(?:\.[0-9]+)?)*)`)
	// within is a list of sections between brackets, as the pages cite their own.
	within = regexp.MustCompile(`\(([0-9]+\.[0-9]+(?:, [0-9]+\.[0-9]+)*)\)`)
	number = regexp.MustCompile(`[0-9]+(?:\.[0-9]+)?`)
)

// sections are the numbers that the design page has.
func sections(page string) (out []string) {
	for _, m := range heading.FindAllStringSubmatch(page, -1) {
		out = append(out, m[1]+m[2])
	}
	return out
}

// unknownCitations are the numbers that a text cites and the page does not have.
func unknownCitations(text string, own bool, has []string) (out []string, n int) {
	lists := cited.FindAllStringSubmatch(text, -1)
	if own {
		lists = append(lists, within.FindAllStringSubmatch(text, -1)...)
	}
	for _, m := range lists {
		for _, c := range number.FindAllString(m[1], -1) {
			if n++; !slices.Contains(has, c) {
				out = append(out, c)
			}
		}
	}
	return out, n
}

// What sources and pages cite of the design page is there, and no number twice.
func TestCitations(t *testing.T) {
	page, err := os.ReadFile("../../docs/DESIGN.md")
	if err != nil {
		t.Fatal(err)
	}
	has := sections(string(page))
	for i, s := range has {
		if slices.Contains(has[:i], s) {
			t.Errorf("section %s stands twice", s)
		}
	}
	files, seen := 0, 0
	err = filepath.WalkDir("../..", func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel("../..", path)
		if d.IsDir() {
			if slices.Contains([]string{".git", "target", "journal"}, rel) {
				return filepath.SkipDir
			}
			return nil
		}
		// This file has wrong ones on purpose.
		if !strings.HasSuffix(rel, ".go") && !strings.HasSuffix(rel, ".md") || rel == "internal/actor/citations_test.go" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		bad, n := unknownCitations(string(text), rel == "docs/DESIGN.md", has)
		for _, s := range bad {
			t.Errorf("%s cites section %s, which the design page does not have", rel, s)
		}
		files, seen = files+1, seen+n
		return nil
	})
	if err != nil || files < 100 || seen < 100 || len(has) < 60 {
		t.Errorf("%d files, %d citations, %d sections: %v", files, seen, len(has), err)
	}
}

// The check can fail, in each form of a citation.
func TestCitationsCanFail(t *testing.T) {
	has := sections("## 1 One\n\n1.1 First.\n1.2 Second.\n")
	for text, want := range map[string][]string{
		"// (DESIGN 1, 1.2)":          nil,
		"// (DESIGN 1.3)":             {"1.3"},
		"// (DESIGN 1.1, 2.1)":        {"2.1"},
		"// (DESIGN\n// 1.1 and 1.4)": {"1.4"},
		"// as DESIGN 2 says":         {"2"},
		"as told (1.1, 1.9), 1.5 s":   {"1.9"},
	} {
		if got, _ := unknownCitations(text, true, has); !slices.Equal(got, want) {
			t.Errorf("%q: %v, not %v", text, got, want)
		}
	}
}
