package option

import (
	"fmt"
	"strings"
)

type (
	// keyPath is a section and a key in it; the key is "" for the section's head.
	keyPath struct{ section, key string }

	// lineIndex holds the lines on which sections and keys stand. The INI library
	// reads the values but keeps no lines, and problems have to name them.
	lineIndex struct {
		firstLine  map[keyPath]int
		duplicates []struct {
			keyPath
			line int
		}
	}
)

func indexLines(data []byte) lineIndex {
	index := lineIndex{firstLine: make(map[keyPath]int)}
	section := "DEFAULT"
	line := 0
	for text := range strings.Lines(string(data)) {
		line++
		text = strings.TrimSpace(text)
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		if heading, ok := strings.CutPrefix(text, "["); ok {
			heading, _, _ = strings.Cut(heading, "]")
			section = strings.TrimSpace(heading)
			index.record(keyPath{section: section}, line)
			continue
		}
		key, _, _ := strings.Cut(text, "=")
		index.record(keyPath{section, strings.TrimSpace(key)}, line)
	}
	return index
}

func (idx *lineIndex) record(path keyPath, line int) {
	if _, ok := idx.firstLine[path]; !ok {
		idx.firstLine[path] = line
		return
	}
	idx.duplicates = append(idx.duplicates, struct {
		keyPath
		line int
	}{path, line})
}

func (idx *lineIndex) sectionLine(name string) int {
	return max(1, idx.firstLine[keyPath{section: name}])
}

func (idx *lineIndex) keyLine(section, key string) int {
	return max(1, idx.firstLine[keyPath{section, key}])
}

// duplicateProblems reports sections and keys that stand twice: the library would
// silently take one of the two values.
func (idx *lineIndex) duplicateProblems(file string) Problems {
	var out Problems
	for _, r := range idx.duplicates {
		msg := fmt.Sprintf("it stands already in line %d; write it once", idx.firstLine[r.keyPath])
		out = append(out, Problem{File: file, Line: r.line, Section: r.section, Key: r.keyPath.key, Message: msg})
	}
	return out
}
