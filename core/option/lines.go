package option

import (
	"fmt"
	"strings"
)

type (
	// keyPath names a key in a section, or the section's header if key is "".
	keyPath struct{ section, key string }

	// lineIndex holds the line numbers of section headers and keys. Problems
	// report them, and the INI library does not provide them.
	lineIndex struct {
		firstLine  map[keyPath]int
		duplicates []struct {
			keyPath
			line int
		}
	}
)

// indexLines scans an INI file for section headers and keys.
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
		if header, ok := strings.CutPrefix(text, "["); ok {
			header, _, _ = strings.Cut(header, "]")
			section = strings.TrimSpace(header)
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

// duplicateProblems reports sections and keys that are defined more than once.
// The INI library would silently use one of the values.
func (idx *lineIndex) duplicateProblems(file string) Problems {
	var out Problems
	for _, dup := range idx.duplicates {
		msg := fmt.Sprintf("it is already defined on line %d; define it once", idx.firstLine[dup.keyPath])
		out = append(out, Problem{File: file, Line: dup.line, Section: dup.section, Key: dup.keyPath.key, Message: msg})
	}
	return out
}
