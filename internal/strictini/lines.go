package strictini

import (
	"fmt"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// location identifies a key, or a section when key is empty.
type location struct{ section, key string }

// lineIndex holds the line numbers of sections and keys, which the INI library does not
// provide.
type lineIndex struct {
	firstLine  map[location]int
	duplicates Problems
}

// indexLines returns the line index of text. Sections and keys that occur again are
// recorded as duplicates. file is the file name that these problems contain.
func indexLines(file, text string) lineIndex {
	ix := lineIndex{firstLine: make(map[location]int)}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		at := location{section: section}
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "[]"))
			at = location{section: section}
		default:
			name, _, _ := strings.Cut(line, "=")
			at.key = strings.TrimSpace(name)
		}
		if prev, ok := ix.firstLine[at]; ok {
			msg := fmt.Sprintf("[%s] %s is already set on line %d", at.section, at.key, prev)
			ix.duplicates = append(ix.duplicates, Problem{File: file, Line: i + 1, Code: result.SettingRepeated, Message: msg})
			continue
		}
		ix.firstLine[at] = i + 1
	}
	return ix
}
