package config

import (
	"bytes"
)

// SectionChange replaces, adds or removes one section of a text. A section
// extends from its header to the next header and includes the comments in
// between; the text before the first header is a section with an empty name.
type SectionChange struct {
	Name     string
	Body     []byte // empty: the section is removed
	Position int    // index of the section in the new text
}

type sectionText struct {
	name string
	body []byte
}

// splitSections splits a text into its sections. Their concatenation is the
// text.
func splitSections(text []byte) []sectionText {
	out := []sectionText{{}}
	for len(text) > 0 {
		end := bytes.IndexByte(text, '\n') + 1
		if end == 0 {
			end = len(text)
		}
		if line := bytes.TrimSpace(text[:end]); bytes.HasPrefix(line, []byte("[")) {
			out = append(out, sectionText{name: string(bytes.Trim(line, "[]"))})
		}
		last := &out[len(out)-1]
		last.body = append(last.body, text[:end]...)
		text = text[end:]
	}
	return out
}

// Delta returns the changes that turn old into new. ok is false if the changes
// cannot express the difference, such as a new order of sections.
func Delta(old, new []byte) (changes []SectionChange, ok bool) {
	before, after := splitSections(old), splitSections(new)
	bodies := make(map[string][]byte, len(before))
	for _, c := range before {
		bodies[c.name] = c.body
	}
	kept := make(map[string]bool, len(after))
	for i, c := range after {
		kept[c.name] = true
		if body, found := bodies[c.name]; !found || !bytes.Equal(body, c.body) {
			changes = append(changes, SectionChange{c.name, c.body, i})
		}
	}
	for _, c := range before {
		if !kept[c.name] {
			changes = append(changes, SectionChange{Name: c.name})
		}
	}
	return changes, bytes.Equal(ApplyDelta(old, changes), new)
}

// ApplyDelta applies the changes to a text. The caller must check the digest of
// the result: the changes yield a meaningless text if old is not the text from
// which they were computed.
func ApplyDelta(old []byte, changes []SectionChange) []byte {
	changed := make(map[string]bool, len(changes))
	for _, c := range changes {
		changed[c.Name] = true
	}
	var kept []sectionText
	for _, c := range splitSections(old) {
		if !changed[c.name] {
			kept = append(kept, c)
		}
	}
	var out []byte
	n := 0 // sections written
	for _, c := range changes {
		if len(c.Body) == 0 {
			if c.Name == "" {
				n++ // the section before the first header has an index even if empty
			}
			continue
		}
		for ; n < c.Position && len(kept) > 0; n++ {
			out = append(out, kept[0].body...)
			kept = kept[1:]
		}
		out = append(out, c.Body...)
		n++
	}
	for _, c := range kept {
		out = append(out, c.body...)
	}
	return out
}
