package config

import (
	"bytes"
	"crypto/sha256"
	"sort"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// Bounds on a table. The configuration service stores values of up to 1 MB.
const (
	MaxText = 1_000_000 // bytes

	maxRegions   = 64
	maxLinks     = maxRegions * (maxRegions - 1) / 2
	maxResidency = 1_000
	maxTeams     = 10_000
	maxKeys      = 20_000
	maxModels    = 500
	maxServices  = 200
	maxRoutes    = 1_000
	maxTargets   = 10_000
	maxItems     = 1_000 // items of one list
	maxSeats     = 15    // per region
	maxShards    = 64    // per region
)

// Parse reads the text of a table. It is a pure function of the text: the
// result has Revision 0. The error is a strictini.Faults that lists all faults
// with their lines.
func Parse(text []byte) (*Config, error) {
	text = bytes.Clone(text)
	p := &parser{e: &Config{
		Digest:    sha256.Sum256(text),
		Text:      text,
		Regions:   make(map[string]*Region),
		Links:     make(map[LinkID]*Link),
		Residency: make(map[string]*Residency),
		Teams:     make(map[string]*Team),
		Keys:      make(map[KeyHash]*Key),
		Models:    make(map[string]*Model),
		Services:  make(map[string]*Service),
		Targets:   make(map[string]*Target),
	}}
	sections := strictini.Scan(text, MaxText, &p.c)
	p.group(sections)
	p.parseAll()
	if len(text) <= MaxText {
		p.check()
	}
	if err := p.c.Err(); err != nil {
		return nil, err
	}
	sort.Slice(p.e.Routes, func(i, j int) bool {
		a, b := p.e.Routes[i], p.e.Routes[j]
		if len(a.Prefix) != len(b.Prefix) {
			return len(a.Prefix) > len(b.Prefix)
		}
		return a.Prefix < b.Prefix
	})
	return p.e, nil
}

// WithRevision returns a copy of e that carries the revision.
func (e *Config) WithRevision(revision int64) *Config {
	c := *e
	c.Revision = revision
	return &c
}

type parser struct {
	e *Config
	c strictini.Collector
	// Readers of the sections of each kind in order of lines.
	kinds map[string][]named
	// Names of all published sections of a kind, with and without faults of
	// their own, so that a reference to a faulty section is no second fault.
	names map[string]map[string]bool
}

// named is one section; name is the text after the kind.
type named struct {
	name string
	*strictini.Reader
}

type kind struct {
	name  string
	parts int // words after the kind
	max   int // sections
	parse func(named)
}

func (p *parser) schema() []kind {
	return []kind{
		{"region", 1, maxRegions, p.region},
		{"link", 2, maxLinks, p.link},
		{"residency", 1, maxResidency, p.residency},
		{"model", 1, maxModels, p.model},
		{"service", 1, maxServices, p.service},
		{"route", 1, maxRoutes, p.route},
		{"team", 1, maxTeams, p.team},
		{"key", 1, maxKeys, p.key},
		{"target", 1, maxTargets, p.target},
		{"policy", 0, 1, p.policy},
	}
}

// accepted lists the section headers for messages.
const accepted = "[region N], [link A B], [residency N], [team N], [key N], [model N], [service N], [route N], [target N], [policy]"

// group sorts the sections by kind and checks their names.
func (p *parser) group(sections []*strictini.Section) {
	p.kinds, p.names = make(map[string][]named), make(map[string]map[string]bool)
	schema := make(map[string]kind)
	for _, k := range p.schema() {
		schema[k.name] = k
		p.names[k.name] = make(map[string]bool)
	}
	for _, sec := range sections {
		words := strings.Fields(sec.Name)
		k, ok := schema[words[0]]
		if !ok || len(words) != k.parts+1 {
			p.c.Add(sec.Line, "unknown section [%s]; accepted: %s", sec.Name, accepted)
			continue
		}
		valid := true
		for _, w := range words[1:] {
			if !strictini.ValidName(w) {
				p.c.Add(sec.Line, "[%s]: %q is not a name; accepted: letters, digits, dot, dash and underscore, at most %d", sec.Name, w, strictini.MaxName)
				valid = false
			}
		}
		name := strings.Join(words[1:], " ")
		p.names[k.name][name] = true
		if !valid {
			continue
		}
		if len(p.kinds[k.name]) == k.max {
			p.c.Add(sec.Line, "more than %d sections of kind %s", k.max, k.name)
			continue
		}
		p.kinds[k.name] = append(p.kinds[k.name], named{name, strictini.NewReader(sec, &p.c)})
	}
}

func (p *parser) parseAll() {
	for _, k := range p.schema() {
		for _, s := range p.kinds[k.name] {
			k.parse(s)
			s.Done()
		}
	}
	if len(p.kinds["policy"]) == 0 {
		p.policy(named{"", strictini.NewReader(&strictini.Section{Name: "policy"}, &p.c)})
	}
}

// ref reads the name of another section and checks that it exists.
func (p *parser) ref(s named, key, kind string) string {
	v := s.Ref(key)
	if v != "" && !p.names[kind][v] {
		s.Fault(key, "there is no section [%s %s]", kind, v)
	}
	return v
}

// refs reads a list of names of other sections.
func (p *parser) refs(s named, key, kind string) map[string]bool {
	if !s.Has(key) {
		s.List(key, maxItems) // marks the key as known
		return nil
	}
	set := make(map[string]bool)
	for _, v := range s.List(key, maxItems) {
		if !p.names[kind][v] {
			s.Fault(key, "there is no section [%s %s]", kind, v)
		}
		set[v] = true
	}
	return set
}
