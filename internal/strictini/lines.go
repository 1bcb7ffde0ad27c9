package strictini

import (
	"fmt"
	"strings"

	"github.com/apricotstream/apricotstream/internal/result"
)

// place identifies a section (empty key) or a key.
type place struct{ section, key string }

// lineIndex finds the lines of sections and keys, which the INI library drops.
type lineIndex struct {
	first    map[place]int
	repeated Problems
}

func indexLines(file, text string) lineIndex {
	ix := lineIndex{first: make(map[place]int)}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		at := place{section: section}
		switch {
		case line == "" || line[0] == ';' || line[0] == '#':
			continue
		case line[0] == '[':
			section = strings.TrimSpace(strings.Trim(strings.SplitN(line, "]", 2)[0], "[]"))
			at = place{section: section}
		default:
			name, _, _ := strings.Cut(line, "=")
			at.key = strings.TrimSpace(name)
		}
		if prev, ok := ix.first[at]; ok {
			msg := fmt.Sprintf("[%s] %s is already set on line %d", at.section, at.key, prev)
			ix.repeated = append(ix.repeated, Problem{File: file, Line: i + 1, Code: result.SettingRepeated, Message: msg})
			continue
		}
		ix.first[at] = i + 1
	}
	return ix
}
