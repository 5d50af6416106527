// Package option owns tables of options. One table is the single source for
// parsing an INI file, for checking it and for the page that documents it.
//
// The package must not know any particular option; those are defined in the
// packages that own them.
package option

import (
	"fmt"
	"math"
	"net"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// ValueKind is the type of an option's value.
type ValueKind uint8

// The types of values.
const (
	Text ValueKind = iota
	Name
	NameList
	TextList
	Number
	Duration
	Size
	Flag
	Choice
	Address
	URL
)

type (
	// Option is one key of a section.
	Option struct {
		Key      string
		Kind     ValueKind
		Default  string
		Required bool
		// Choices lists the allowed values of a Choice.
		Choices []string
		// Min and Max are the inclusive bounds of a Number, a Duration in seconds
		// or a Size in bytes. If both are zero, the value is unbounded.
		Min, Max float64
		Doc      string
	}

	// Section describes one kind of section. A named section is written as
	// "[kind name]" and may occur many times under different names.
	Section struct {
		Kind    string
		Named   bool
		Doc     string
		Options []Option
	}

	// Table describes all sections of one kind of file.
	Table struct {
		Title    string
		Doc      string
		Sections []Section
	}
)

var (
	valueDocs = [...]string{
		Text:     "text",
		Name:     "a name of letters, digits, '-', '_' and '.'",
		NameList: "names separated by commas",
		TextList: "texts separated by commas",
		Number:   "a number",
		Duration: "a duration with its unit, such as 250ms or 3s",
		Size:     "a size with its unit, such as 512KB or 2MB",
		Flag:     "yes or no",
		Choice:   "one of the listed words",
		Address:  "an IP address and port, such as 127.0.0.1:8080",
		URL:      "an http or https URL, such as http://127.0.0.1:8080",
	}

	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9_.-]{0,127}$`)

	sizeUnits = []struct {
		suffix string
		bytes  float64
	}{
		{"KB", 1 << 10}, {"MB", 1 << 20}, {"GB", 1 << 30}, {"B", 1},
	}
)

func (t *Table) section(kind string) (*Section, bool) {
	for i := range t.Sections {
		if t.Sections[i].Kind == kind {
			return &t.Sections[i], true
		}
	}
	return nil, false
}

func (s *Section) option(key string) (*Option, bool) {
	for i := range s.Options {
		if s.Options[i].Key == key {
			return &s.Options[i], true
		}
	}
	return nil, false
}

// validate returns nil if the option allows value. Otherwise the error says what
// is wrong and what is allowed.
func (o *Option) validate(value string) error {
	switch o.Kind {
	case Name:
		return checkName(value)
	case NameList:
		for _, v := range splitList(value) {
			if err := checkName(v); err != nil {
				return err
			}
		}
	case Number:
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number; write %s", value, o.allowedValues())
		}
		return o.checkRange(value, n)
	case Duration:
		d, err := time.ParseDuration(value)
		if err != nil {
			return fmt.Errorf("%q is not a duration; write %s", value, o.allowedValues())
		}
		return o.checkRange(value, d.Seconds())
	case Size:
		n, err := parseSize(value)
		if err != nil {
			return fmt.Errorf("%q is not a size; write %s", value, o.allowedValues())
		}
		return o.checkRange(value, n)
	case Flag:
		if value != "yes" && value != "no" {
			return fmt.Errorf("%q is not a flag; write yes or no", value)
		}
	case Choice:
		for _, c := range o.Choices {
			if c == value {
				return nil
			}
		}
		return fmt.Errorf("%q is not known; write one of %s", value, strings.Join(o.Choices, ", "))
	case Address:
		return checkAddress(value)
	case URL:
		u, err := url.Parse(value)
		if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
			return fmt.Errorf("%q is not an http or https URL; write %s", value, o.allowedValues())
		}
	}
	return nil
}

func (o *Option) checkRange(value string, n float64) error {
	if math.IsNaN(n) || math.IsInf(n, 0) {
		return fmt.Errorf("%s is not a finite number; write %s", value, o.allowedValues())
	}
	if o.Min == 0 && o.Max == 0 {
		return nil
	}
	if n < o.Min || n > o.Max {
		return fmt.Errorf("%s is out of range; write %s", value, o.allowedValues())
	}
	return nil
}

// allowedValues describes the values that the option allows.
func (o *Option) allowedValues() string {
	doc := valueDocs[o.Kind]
	if o.Kind == Choice {
		doc = "one of " + strings.Join(o.Choices, ", ")
	}
	if o.Min == 0 && o.Max == 0 {
		return doc
	}
	return fmt.Sprintf("%s from %s to %s", doc, o.formatBound(o.Min), o.formatBound(o.Max))
}

func (o *Option) formatBound(n float64) string {
	switch o.Kind {
	case Duration:
		return time.Duration(n * float64(time.Second)).String()
	case Size:
		return strconv.FormatFloat(n/(1<<10), 'f', -1, 64) + "KB"
	}
	return strconv.FormatFloat(n, 'f', -1, 64)
}

func checkName(value string) error {
	if !namePattern.MatchString(value) {
		return fmt.Errorf("%q is not a valid name; write %s", value, valueDocs[Name])
	}
	return nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return fmt.Errorf("%q is not an address; write %s", value, valueDocs[Address])
	}
	if n, err := strconv.Atoi(port); err != nil || n < 0 || n > 65535 {
		return fmt.Errorf("%q has the invalid port %q; write a port from 0 to 65535", value, port)
	}
	return nil
}

func parseSize(value string) (float64, error) {
	for _, u := range sizeUnits {
		if num, ok := strings.CutSuffix(value, u.suffix); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(num), 64)
			return n * u.bytes, err
		}
	}
	return 0, fmt.Errorf("size %q has no unit", value)
}

func splitList(value string) []string {
	var out []string
	for v := range strings.SplitSeq(value, ",") {
		if v = strings.TrimSpace(v); v != "" {
			out = append(out, v)
		}
	}
	return out
}

// Markdown returns the page that documents the table.
func (t *Table) Markdown() string {
	var b strings.Builder
	fmt.Fprintf(&b, "# %s\n\n<!-- Generated from the table of options by `go test ./docs -update`; do not edit. -->\n\n%s\n", t.Title, t.Doc)
	for _, s := range t.Sections {
		heading := s.Kind
		if s.Named {
			heading += " NAME"
		}
		fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n| key | value | default | meaning |\n| --- | --- | --- | --- |\n", heading, s.Doc)
		for _, o := range s.Options {
			def := "none"
			switch {
			case o.Required:
				def = "required"
			case o.Default != "":
				def = "`" + o.Default + "`"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", o.Key, o.allowedValues(), def, o.Doc)
		}
	}
	return b.String()
}
