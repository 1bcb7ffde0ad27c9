package strictini

import (
	"fmt"
	"slices"

	"gopkg.in/ini.v1"

	"github.com/apricotstream/apricotstream/internal/result"
)

// Decode reads text, named file in problems, and sets every key that resolve
// describes.
func Decode(file, text string, resolve Resolver) Problems {
	opts := ini.LoadOptions{IgnoreInlineComment: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(opts, []byte(text))
	if err != nil {
		return Problems{{File: file, Line: 1, Code: result.SettingInvalid, Message: err.Error()}}
	}
	d := decoder{file: file, lines: indexLines(file, text)}
	d.problems = append(d.problems, d.lines.repeated...)
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

func (d *decoder) add(at place, code result.Code, format string, args ...any) {
	p := Problem{File: d.file, Line: d.lines.first[at], Code: code, Message: fmt.Sprintf(format, args...)}
	d.problems = append(d.problems, p)
}

func (d *decoder) section(s *ini.Section, resolve Resolver) {
	name := s.Name()
	if name == ini.DefaultSection {
		for _, k := range s.Keys() {
			d.add(place{key: k.Name()}, result.SettingUnknown, "key %s precedes any section", k.Name())
		}
		return
	}
	spec, err := resolve(name)
	if err != nil {
		d.add(place{section: name}, result.SettingInvalid, "[%s]: %v", name, err)
		return
	}
	if spec == nil {
		d.add(place{section: name}, result.SettingUnknown, "unknown section [%s]", name)
		return
	}
	for _, k := range s.Keys() {
		d.key(name, k, spec)
	}
	for _, k := range spec.Keys {
		if k.Required && !s.HasKey(k.Name) {
			d.add(place{section: name}, result.SettingMissing, "[%s] needs %s: %s", name, k.Name, k.Help)
		}
	}
}

func (d *decoder) key(section string, k *ini.Key, spec *Section) {
	at := place{section: section, key: k.Name()}
	i := slices.IndexFunc(spec.Keys, func(x Key) bool { return x.Name == k.Name() })
	if i < 0 {
		d.add(at, result.SettingUnknown, "[%s] has no key %s", section, k.Name())
		return
	}
	if err := spec.Keys[i].Set(k.Value()); err != nil {
		d.add(at, result.SettingInvalid, "[%s] %s = %s: %v; %s", section, k.Name(), k.Value(), err, spec.Keys[i].Help)
	}
}
