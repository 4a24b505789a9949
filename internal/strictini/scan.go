package strictini

import (
	"bytes"
	"strings"
	"unicode/utf8"

	"gopkg.in/ini.v1"
)

const (
	// MaxLine bounds the length of one line in bytes.
	MaxLine = 64 << 10
	// maxKeys bounds the keys of one section, which are searched in order.
	maxKeys = 64
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
	Keys []Key // in order of lines
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

// Scan reads text of at most maxBytes. Lines at fault are reported to c and
// left out of the result.
func Scan(text []byte, maxBytes int, c *Collector) []*Section {
	if len(text) > maxBytes {
		c.Add(0, "the text has %d bytes; at most %d are accepted", len(text), maxBytes)
		return nil
	}
	s := scanner{c: c, seen: make(map[string]*Section)}
	lines := bytes.Split(text, []byte{'\n'})
	for i, raw := range lines {
		if !s.line(i+1, raw) {
			lines[i] = nil
		}
	}
	s.checkValues(bytes.Join(lines, []byte{'\n'}))
	return s.sections
}

// Rescan returns the sections of a text that Scan read without faults.
func Rescan(text []byte) []*Section {
	s := scanner{c: &Collector{}, seen: make(map[string]*Section)}
	n := 0
	for raw := range bytes.SplitSeq(text, []byte{'\n'}) {
		n++
		s.line(n, raw)
	}
	return s.sections
}

type scanner struct {
	c        *Collector
	sections []*Section
	seen     map[string]*Section
	current  *Section
	skipping bool // within a duplicate or malformed section
}

// line reports whether the library should see the line.
func (s *scanner) line(n int, raw []byte) bool {
	if len(raw) > MaxLine {
		s.c.Add(n, "the line has %d bytes; at most %d are accepted", len(raw), MaxLine)
		return false
	}
	if !utf8.Valid(raw) || bytes.ContainsFunc(bytes.TrimSuffix(raw, []byte{'\r'}), func(r rune) bool {
		return r != '\t' && (r < ' ' || r == 0x7f || r == '\ufeff')
	}) {
		s.c.Add(n, "the line has bytes that are not printable UTF-8")
		return false
	}
	line := strings.TrimSpace(string(raw))
	switch {
	case line == "" || line[0] == '#' || line[0] == ';':
		return false
	case line[0] == '[':
		return s.header(n, line)
	default:
		return s.key(n, line)
	}
}

func (s *scanner) header(n int, line string) bool {
	s.skipping = true
	if line[len(line)-1] != ']' || strings.ContainsAny(line[1:len(line)-1], "[]\"'`#;\\") {
		s.c.Add(n, "malformed section header %q; want [kind] or [kind name]", line)
		return false
	}
	name := strings.Join(strings.Fields(line[1:len(line)-1]), " ")
	if name == "" {
		s.c.Add(n, "section without a name")
		return false
	}
	if line != "["+name+"]" {
		s.c.Add(n, "section header %q has spare spaces; want [%s]", line, name)
		return false
	}
	if first, ok := s.seen[name]; ok {
		s.c.Add(n, "section [%s] is a duplicate of line %d", name, first.Line)
		return false
	}
	s.skipping = false
	s.current = &Section{Name: name, Line: n}
	s.seen[name] = s.current
	s.sections = append(s.sections, s.current)
	return true
}

func (s *scanner) key(n int, line string) bool {
	name, value, ok := strings.Cut(line, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok:
		s.c.Add(n, "want `key = value`, a [section] or a comment line that starts with #")
	case !validKey(name):
		s.c.Add(n, "malformed key %q; want lower-case letters, digits and underscores", name)
	case value == "":
		s.c.Add(n, "key %s has no value; leave out the line to use the default", name)
	case strings.ContainsAny(value, "\"'`\\"):
		s.c.Add(n, "key %s: quotes and backslashes are not accepted", name)
	case s.current == nil && !s.skipping:
		s.c.Add(n, "key %s stands before the first section", name)
	case s.skipping:
		// The header was reported already.
	default:
		if first, dup := s.current.Lookup(name); dup {
			s.c.Add(n, "key %s of [%s] is a duplicate of line %d", name, s.current.Name, first.Line)
			return false
		}
		if len(s.current.Keys) == maxKeys {
			s.c.Add(n, "[%s] has more than %d keys", s.current.Name, maxKeys)
			return false
		}
		s.current.Keys = append(s.current.Keys, Key{Name: name, Value: value, Line: n})
		return true
	}
	return false
}

// checkValues checks that the library reads the same values, so that a form of
// the language that the scan does not know is a fault and not a difference
// between what operators see and what is in force.
func (s *scanner) checkValues(text []byte) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:     true,
		IgnoreContinuation:      true,
		PreserveSurroundedQuote: true,
		KeyValueDelimiters:      "=",
		// Names may have dots; no name is the parent of another.
		ChildSectionDelimiter: "\x00",
		// The reader of the library must hold a whole line.
		ReaderBufferSize: 2 * MaxLine,
	}, text)
	if err != nil {
		s.c.Add(0, "the text is not INI: %v", err)
		return
	}
	for _, sec := range s.sections {
		values := file.Section(sec.Name).KeysHash()
		for _, k := range sec.Keys {
			if values[k.Name] != k.Value {
				s.c.Add(k.Line, "key %s of [%s] is ambiguous", k.Name, sec.Name)
			}
		}
	}
}
