package strictini

import (
	"fmt"
	"slices"

	"gopkg.in/ini.v1"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Decode parses text. It calls resolve for the description of each section and passes the
// value of each key to the setter that the description has for the key. It returns all
// problems, sorted by line. file is the file name that they contain.
func Decode(file, text string, resolve Resolver) Problems {
	opts := ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		return Problems{{File: file, Line: 1, Code: result.SettingInvalid, Message: err.Error()}}
	}
	d := decoder{file: file, lines: indexLines(file, text)}
	d.problems = append(d.problems, d.lines.duplicates...)
	for _, s := range f.Sections() {
		d.section(s, resolve)
	}
	slices.SortStableFunc(d.problems, func(a, b Problem) int { return a.Line - b.Line })
	return d.problems
}

type decoder struct {
	file     string
	lines    lineIndex
	problems Problems
}

func (d *decoder) report(at location, code result.Code, format string, args ...any) {
	p := Problem{File: d.file, Line: d.lines.firstLine[at], Code: code, Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, p)
}

func (d *decoder) section(s *ini.Section, resolve Resolver) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			d.report(location{key: k.Name()}, result.SettingUnknown, "key %s is outside of a section", k.Name())
		}
		return
	}
	spec, err := resolve(name)
	if err != nil {
		d.report(location{section: name}, result.SettingInvalid, "[%s]: %v", name, err)
		return
	}
	if spec == nil {
		d.report(location{section: name}, result.SettingUnknown, "unknown section [%s]", name)
		return
	}
	for _, k := range s.Keys() {
		d.key(name, k, spec)
	}
	for _, k := range spec.Keys {
		if k.Required && !s.HasKey(k.Name) {
			d.report(location{section: name}, result.SettingMissing, "section [%s] lacks the required key %s: %s", name, k.Name, k.Help)
		}
	}
}

func (d *decoder) key(section string, k *ini.Key, spec *Section) {
	at := location{section: section, key: k.Name()}
	i := slices.IndexFunc(spec.Keys, func(x Key) bool { return x.Name == k.Name() })
	if i < 0 && spec.Other != nil {
		if err := spec.Other(k.Name(), k.Value()); err != nil {
			d.report(at, result.SettingInvalid, "[%s] %s = %s: %v", section, k.Name(), k.Value(), err)
		}
		return
	}
	if i < 0 {
		d.report(at, result.SettingUnknown, "unknown key in section [%s]: %s", section, k.Name())
		return
	}
	if err := spec.Keys[i].Set(k.Value()); err != nil {
		d.report(at, result.SettingInvalid, "[%s] %s = %s: %v; %s", section, k.Name(), k.Value(), err, spec.Keys[i].Help)
	}
}
