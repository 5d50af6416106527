package option

import (
	"fmt"
	"strings"
)

type (
	// place is a section and a key in it; the key is "" for the section's head.
	place struct{ section, key string }

	// places holds the lines on which sections and keys stand. The INI library
	// reads the values but keeps no lines, and problems have to name them.
	places struct {
		first  map[place]int
		repeat []struct {
			place
			line int
		}
	}
)

func locate(data []byte) places {
	p := places{first: make(map[place]int)}
	section := "DEFAULT"
	line := 0
	for text := range strings.Lines(string(data)) {
		line++
		text = strings.TrimSpace(text)
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if head, ok := strings.CutPrefix(text, "["); ok {
			head, _, _ = strings.Cut(head, "]")
			section = strings.TrimSpace(head)
			p.note(place{section: section}, line)
			continue
		}
		key, _, _ := strings.Cut(text, "=")
		p.note(place{section, strings.TrimSpace(key)}, line)
	}
	return p
}

func (p *places) note(at place, line int) {
	if _, ok := p.first[at]; !ok {
		p.first[at] = line
		return
	}
	p.repeat = append(p.repeat, struct {
		place
		line int
	}{at, line})
}

func (p *places) section(name string) int { return max(1, p.first[place{section: name}]) }

func (p *places) key(section, key string) int { return max(1, p.first[place{section, key}]) }

// repeated reports sections and keys that stand twice: the library would
// silently take one of the two values.
func (p *places) repeated(file string) Problems {
	var out Problems
	for _, r := range p.repeat {
		msg := fmt.Sprintf("it stands already in line %d; write it once", p.first[r.place])
		out = append(out, Problem{File: file, Line: r.line, Section: r.section, Key: r.place.key, Message: msg})
	}
	return out
}
