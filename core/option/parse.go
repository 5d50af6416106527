package option

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

type (
	// Problem is one error in a file, with its location.
	Problem struct {
		File    string
		Line    int
		Section string
		Key     string
		Message string
	}

	// Problems lists every error that was found. An empty Problems means that
	// there is none; Err converts it to a nil error.
	Problems []Problem

	// Block is one parsed section of a file. Its values have been checked.
	Block struct {
		kind, name string
		file       string
		line       int
		section    *Section
		values     map[string]blockValue
	}

	blockValue struct {
		text string
		line int
	}
)

// maxValueBytes is the maximum length of one value, which must fit in an object
// of 1 MB.
const maxValueBytes = 1 << 20

// String returns "file:line: section key: message".
func (p Problem) String() string {
	location := strings.TrimSpace(p.Section + " " + p.Key)
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, location, p.Message)
}

// Error returns all problems, one per line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns p as an error, or nil if p is empty.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// Parse parses an INI file and checks it against the table. It returns the
// blocks in the order of the file, without those that have problems, and every
// problem found.
func (t *Table) Parse(file string, data []byte) ([]*Block, Problems) {
	opts := ini.LoadOptions{
		IgnoreContinuation:  true,
		IgnoreInlineComment: false,
		AllowShadows:        true,
		KeyValueDelimiters:  "=",
	}
	loaded, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, Problems{{File: file, Line: 1, Section: "file", Message: fmt.Sprintf("it is not a valid INI file: %v; write [section] lines and key = value lines", err)}}
	}
	index := indexLines(data)
	var blocks []*Block
	problems := index.duplicateProblems(file)
	for _, sec := range loaded.Sections() {
		if sec.Name() == ini.DefaultSection && len(sec.Keys()) == 0 {
			continue
		}
		b, found := t.parseSection(file, sec, index)
		problems = append(problems, found...)
		if len(found) == 0 {
			blocks = append(blocks, b)
		}
	}
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	slices.SortStableFunc(blocks, func(a, b *Block) int { return a.line - b.line })
	return blocks, problems
}

func (t *Table) parseSection(file string, sec *ini.Section, index lineIndex) (*Block, Problems) {
	kind, name, _ := strings.Cut(sec.Name(), " ")
	name = strings.TrimSpace(name)
	b := &Block{kind: kind, name: name, file: file, line: index.sectionLine(sec.Name()), values: make(map[string]blockValue)}
	section, ok := t.section(kind)
	if !ok {
		return nil, Problems{b.problemAt(b.line, "", "the section is not known; write one of "+strings.Join(t.sectionKinds(), ", "))}
	}
	b.section = section
	var problems Problems
	if section.Named {
		if err := checkName(name); err != nil {
			problems = append(problems, b.problemAt(b.line, "", fmt.Sprintf("the section's name %v", err)))
		}
	} else if name != "" {
		problems = append(problems, b.problemAt(b.line, "", "the section takes no name; write ["+kind+"]"))
	}
	for _, key := range sec.Keys() {
		line := index.keyLine(sec.Name(), key.Name())
		if msg := b.set(key.Name(), strings.TrimSpace(key.String()), line); msg != "" {
			problems = append(problems, b.problemAt(line, key.Name(), msg))
		}
	}
	for _, o := range section.Options {
		if _, ok := b.values[o.Key]; !ok && o.Required && !sec.HasKey(o.Key) {
			problems = append(problems, b.problemAt(b.line, o.Key, "the key is missing; write "+o.allowedValues()))
		}
	}
	return b, problems
}

// set validates a value and stores it. It returns a message that says what is
// wrong, or "".
func (b *Block) set(key, value string, line int) string {
	o, ok := b.section.option(key)
	if !ok {
		return "the key is not known; write one of " + strings.Join(b.section.keys(), ", ")
	}
	if len(value) > maxValueBytes {
		return fmt.Sprintf("the value has %d bytes; write at most %d", len(value), maxValueBytes)
	}
	if err := o.validate(value); err != nil {
		return err.Error()
	}
	b.values[key] = blockValue{text: value, line: line}
	return ""
}

func (t *Table) sectionKinds() []string {
	out := make([]string, len(t.Sections))
	for i, s := range t.Sections {
		out[i] = s.Kind
	}
	return out
}

func (s *Section) keys() []string {
	out := make([]string, len(s.Options))
	for i, o := range s.Options {
		out[i] = o.Key
	}
	return out
}

// Kind returns the section's kind, the first word of its header.
func (b *Block) Kind() string { return b.kind }

// Name returns the section's name, or "" if it has none.
func (b *Block) Name() string { return b.name }

// Line returns the line number of the section's header.
func (b *Block) Line() int { return b.line }

// Has reports whether the file sets the key.
func (b *Block) Has(key string) bool {
	_, ok := b.values[key]
	return ok
}

// Problem returns a problem at the line of the key, or at the line of the
// section's header if the key is not set or is "".
func (b *Block) Problem(key, format string, args ...any) Problem {
	line := b.line
	if v, ok := b.values[key]; ok {
		line = v.line
	}
	return b.problemAt(line, key, fmt.Sprintf(format, args...))
}

// Text returns the key's value, or its default. It panics if the table does not
// have the key.
func (b *Block) Text(key string) string {
	if v, ok := b.values[key]; ok {
		return v.text
	}
	if o, ok := b.section.option(key); ok {
		return o.Default
	}
	panic("option: key " + key + " is not in the table")
}

// List returns the elements of a list value.
func (b *Block) List(key string) []string { return splitList(b.Text(key)) }

// Flag reports whether the value is yes.
func (b *Block) Flag(key string) bool { return b.Text(key) == "yes" }

// Number returns a number value, or 0 if it is not set and has no default.
func (b *Block) Number(key string) float64 {
	n, _ := strconv.ParseFloat(b.Text(key), 64)
	return n
}

// Int returns a number value with its fraction truncated.
func (b *Block) Int(key string) int { return int(b.Number(key)) }

// Duration returns a duration value, or 0 if it is not set and has no default.
func (b *Block) Duration(key string) time.Duration {
	d, _ := time.ParseDuration(b.Text(key))
	return d
}

// Bytes returns a size value in bytes.
func (b *Block) Bytes(key string) int64 {
	n, _ := parseSize(b.Text(key))
	return int64(n)
}

func (b *Block) problemAt(line int, key, message string) Problem {
	section := b.kind
	if b.name != "" {
		section += " " + b.name
	}
	return Problem{File: b.file, Line: line, Section: section, Key: key, Message: message}
}

// DefaultBlock returns the block of a section that is missing from the file, and
// a problem for each required key of the section.
func (t *Table) DefaultBlock(file, kind string) (*Block, Problems) {
	section, ok := t.section(kind)
	if !ok {
		panic("option: section " + kind + " is not in the table")
	}
	b := &Block{kind: kind, file: file, line: 1, section: section, values: make(map[string]blockValue)}
	var problems Problems
	for _, o := range section.Options {
		if o.Required {
			problems = append(problems, b.problemAt(1, o.Key, "the section or key is missing; write "+o.allowedValues()))
		}
	}
	return b, problems
}
