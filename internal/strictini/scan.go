package strictini

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	// maxLineBytes bounds the length of one line in bytes.
	maxLineBytes = 64 << 10
	// maxSectionKeys bounds the keys of one section, because Lookup searches them
	// linearly.
	maxSectionKeys = 64
)

func validKey(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || i > 0 && (c >= '0' && c <= '9' || c == '_')) {
			return false
		}
	}
	return s != ""
}

// Section is one section of a text.
type Section struct {
	Name string // the text between the brackets, with single spaces
	Line int
	Keys []Key // ordered by line
}

// Key is one key of a section.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Lookup returns the key named name.
func (s *Section) Lookup(name string) (Key, bool) {
	for _, k := range s.Keys {
		if k.Name == name {
			return k, true
		}
	}
	return Key{}, false
}

// Scan returns the sections of text, which may have at most maxBytes. Lines with
// faults are reported to c and left out of the result.
func Scan(text []byte, maxBytes int, c *Collector) []*Section {
	if len(text) > maxBytes {
		c.Add(0, "the text has %d bytes; at most %d are accepted", len(text), maxBytes)
		return nil
	}
	s := scanner{collector: c, seen: make(map[string]*Section)}
	lines := bytes.Split(text, []byte{'\n'})
	for i, raw := range lines {
		if !s.scanLine(i+1, raw) {
			lines[i] = nil
		}
	}
	s.checkValues(bytes.Join(lines, []byte{'\n'}))
	return s.sections
}

// Rescan returns the sections of a text in which Scan found no faults. It does
// not compare the values with those that gopkg.in/ini.v1 reads.
func Rescan(text []byte) []*Section {
	s := scanner{collector: &Collector{}, seen: make(map[string]*Section)}
	n := 0
	for raw := range bytes.SplitSeq(text, []byte{'\n'}) {
		n++
		s.scanLine(n, raw)
	}
	return s.sections
}

type scanner struct {
	collector *Collector
	sections  []*Section
	seen      map[string]*Section
	current   *Section
	skipping  bool // within a duplicate or malformed section
}

// scanLine scans line number n and reports whether to pass it to gopkg.in/ini.v1.
func (s *scanner) scanLine(n int, raw []byte) bool {
	if len(raw) > maxLineBytes {
		s.collector.Add(n, "the line has %d bytes; at most %d are accepted", len(raw), maxLineBytes)
		return false
	}
	if !utf8.Valid(raw) || bytes.ContainsFunc(bytes.TrimSuffix(raw, []byte{'\r'}), func(r rune) bool {
		return r != '\t' && (r < ' ' || r == 0x7f || r == '\ufeff')
	}) {
		s.collector.Add(n, "the line has bytes that are not printable UTF-8")
		return false
	}
	line := strings.TrimSpace(string(raw))
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return false
	case line[0] == '[':
		return s.scanHeader(n, line)
	default:
		return s.scanKey(n, line)
	}
}

func (s *scanner) scanHeader(n int, line string) bool {
	s.skipping = true
	if line[len(line)-1] != ']' || strings.ContainsAny(line[1:len(line)-1], "[]\"'`#;\\") {
		s.collector.Add(n, "malformed section header %q; want [kind] or [kind name]", line)
		return false
	}
	name := strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	if name == "" {
		s.collector.Add(n, "section without a name")
		return false
	}
	if line != "["+name+"]" {
		s.collector.Add(n, "section header %q has extra spaces; want [%s]", line, name)
		return false
	}
	if first, ok := s.seen[name]; ok {
		s.collector.Add(n, "section [%s] is a duplicate of line %d", name, first.Line)
		return false
	}
	s.skipping = false
	s.current = &Section{Name: name, Line: n}
	s.seen[name] = s.current
	s.sections = append(s.sections, s.current)
	return true
}

func (s *scanner) scanKey(n int, line string) bool {
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok:
		s.collector.Add(n, "want `key = value`, a [section] or a comment line that starts with #")
	case !validKey(name):
		s.collector.Add(n, "malformed key %q; want lower-case letters, digits and underscores", name)
	case value == "":
		s.collector.Add(n, "key %s has no value; omit the line to use the default", name)
	case strings.ContainsAny(value, "\"'`\\"):
		s.collector.Add(n, "key %s: quotes and backslashes are not accepted", name)
	case s.current == nil && !s.skipping:
		s.collector.Add(n, "key %s is before the first section", name)
	case s.skipping:
		// The section header is already reported.
	default:
		if first, dup := s.current.Lookup(name); dup {
			s.collector.Add(n, "key %s of [%s] is a duplicate of line %d", name, s.current.Name, first.Line)
			return false
		}
		if len(s.current.Keys) == maxSectionKeys {
			s.collector.Add(n, "[%s] has more than %d keys", s.current.Name, maxSectionKeys)
			return false
		}
		s.current.Keys = append(s.current.Keys, Key{Name: name, Value: value, Line: n})
		return true
	}
	return false
}

// checkValues checks that gopkg.in/ini.v1 reads the same values from the text.
// INI syntax that the scanner does not know is then reported as a fault; without
// the check, the values in force could differ from those that operators see.
func (s *scanner) checkValues(text []byte) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
		// Section names may have dots, which do not make one the parent of another.
		ChildSectionDelimiter: "\x00",
		// The buffer of the library must hold a whole line.
		ReaderBufferSize: 2 * maxLineBytes,
	}, text)
	if err != nil {
		s.collector.Add(0, "the text is not valid INI: %v", err)
		return
	}
	for _, sec := range s.sections {
		values := file.Section(sec.Name).KeysHash()
		for _, k := range sec.Keys {
			if values[k.Name] != k.Value {
				s.collector.Add(k.Line, "key %s of [%s] is ambiguous", k.Name, sec.Name)
			}
		}
	}
}
