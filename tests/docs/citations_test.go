package docs

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
	// heading matches the number of a chapter or section at the start of a line.
	heading = regexp.MustCompile(`(?m)^(?:## ([0-9]+) |([0-9]+\.[0-9]+) )`)
	// citation matches a list of section numbers after the name of the design page. A citation may
	// continue on the next line.
	citation = regexp.MustCompile(`DESIGN(?:\s|//)+([0-9]+(?:\.[0-9]+)?(?:(?:,| and)(?:\s|//)+[0-9]+(?:\.[0-9]+)?)*)`)
	// ownCitation matches a list of section numbers in parentheses, the form in which the design
	// page cites its own sections.
	ownCitation = regexp.MustCompile(`\(([0-9]+\.[0-9]+(?:, [0-9]+\.[0-9]+)*)\)`)
	// number matches one number in such a list.
	number = regexp.MustCompile(`[0-9]+(?:\.[0-9]+)?`)
)

// sections returns the numbers of the chapters and sections of the design page.
func sections(page string) (numbers []string) {
	for _, match := range heading.FindAllStringSubmatch(page, -1) {
		numbers = append(numbers, match[1]+match[2])
	}
	return numbers
}

// unknownCitations returns the cited sections that are not among the known ones, and the number of
// citations. designPage must be set for the design page itself.
func unknownCitations(text string, designPage bool, known []string) (unknown []string, cited int) {
	lists := citation.FindAllStringSubmatch(text, -1)
	if designPage {
		lists = append(lists, ownCitation.FindAllStringSubmatch(text, -1)...)
	}
	for _, list := range lists {
		for _, section := range number.FindAllString(list[1], -1) {
			if cited++; !slices.Contains(known, section) {
				unknown = append(unknown, section)
			}
		}
	}
	return unknown, cited
}

// TestCitations checks that the sections of the design page that sources and pages cite exist, and
// that no section number is used twice.
func TestCitations(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/DESIGN.md"))
	if err != nil {
		t.Fatal(err)
	}
	known := sections(string(page))
	for i, section := range known {
		if slices.Contains(known[:i], section) {
			t.Errorf("section %s: number is used twice", section)
		}
	}
	files, citations := 0, 0
	err = filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		rel, _ := filepath.Rel(root, path)
		if d.IsDir() {
			if slices.Contains([]string{".git", "target", "journal"}, rel) {
				return filepath.SkipDir
			}
			return nil
		}
		// This file contains citations of unknown sections as test data.
		if !strings.HasSuffix(rel, ".go") && !strings.HasSuffix(rel, ".md") || rel == "tests/docs/citations_test.go" {
			return nil
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		unknown, cited := unknownCitations(string(text), rel == "docs/DESIGN.md", known)
		for _, section := range unknown {
			t.Errorf("%s cites section %s, which is not in the design page", rel, section)
		}
		files, citations = files+1, citations+cited
		return nil
	})
	if err != nil || files < 100 || citations < 100 || len(known) < 60 {
		t.Errorf("found %d files, %d citations, %d sections, want more (error: %v)", files, citations, len(known), err)
	}
}

// TestCitationsCanFail checks that an unknown section is found in each form of citation.
func TestCitationsCanFail(t *testing.T) {
	known := sections("## 1 One\n\n1.1 First.\n1.2 Second.\n")
	for text, want := range map[string][]string{
		"// (DESIGN 1, 1.2)":          nil,
		"// (DESIGN 1.3)":             {"1.3"},
		"// (DESIGN 1.1, 2.1)":        {"2.1"},
		"// (DESIGN\n// 1.1 and 1.4)": {"1.4"},
		"// as DESIGN 2 says":         {"2"},
		"as told (1.1, 1.9), 1.5 s":   {"1.9"},
	} {
		if got, _ := unknownCitations(text, true, known); !slices.Equal(got, want) {
			t.Errorf("%q: got unknown sections %v, want %v", text, got, want)
		}
	}
}
