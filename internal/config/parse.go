package config

import (
	"bytes"
	"crypto/sha256"
	"sort"
	"strings"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// Limits on a configuration. The configuration service stores values of up to
// 1 MB.
const (
	MaxTextBytes = 1_000_000

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
	maxVoters    = 15    // per region
	maxShards    = 64    // per region
)

// Parse parses and checks the text of a configuration. It is a pure function of
// the text: the result has Revision 0. The error is a strictini.Faults that
// lists all faults with their lines.
func Parse(text []byte) (*Config, error) {
	text = bytes.Clone(text)
	p := &parser{cfg: &Config{
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
	sections := strictini.Scan(text, MaxTextBytes, &p.faults)
	p.groupSections(sections)
	p.parseAll()
	if len(text) <= MaxTextBytes {
		p.crossCheck()
	}
	if err := p.faults.Err(); err != nil {
		return nil, err
	}
	sort.Slice(p.cfg.Routes, func(i, j int) bool {
		a, b := p.cfg.Routes[i], p.cfg.Routes[j]
		if len(a.Prefix) != len(b.Prefix) {
			return len(a.Prefix) > len(b.Prefix)
		}
		return a.Prefix < b.Prefix
	})
	return p.cfg, nil
}

// WithRevision returns a shallow copy of c with the given revision.
func (c *Config) WithRevision(revision int64) *Config {
	revised := *c
	revised.Revision = revision
	return &revised
}

type parser struct {
	cfg    *Config
	faults strictini.Collector
	// Sections of each kind, in the order of the text.
	sectionsByKind map[string][]sectionReader
	// Names of all sections of each kind, including faulty ones, so that a
	// reference to a faulty section is not reported as a second fault.
	names map[string]map[string]bool
}

// sectionReader reads one section. shortName is the section's name without its
// kind; the Name of the embedded Reader includes the kind.
type sectionReader struct {
	shortName string
	*strictini.Reader
}

type sectionKind struct {
	name        string
	nameWords   int // words after the kind in the section header
	maxSections int
	parse       func(sectionReader)
}

func (p *parser) schema() []sectionKind {
	return []sectionKind{
		{"region", 1, maxRegions, p.parseRegion},
		{"link", 2, maxLinks, p.parseLink},
		{"residency", 1, maxResidency, p.parseResidency},
		{"model", 1, maxModels, p.parseModel},
		{"service", 1, maxServices, p.parseService},
		{"route", 1, maxRoutes, p.parseRoute},
		{"team", 1, maxTeams, p.parseTeam},
		{"key", 1, maxKeys, p.parseKey},
		{"target", 1, maxTargets, p.parseTarget},
		{"policy", 0, 1, p.parsePolicy},
	}
}

// acceptedHeaders lists the section headers for error messages.
const acceptedHeaders = "[region N], [link A B], [residency N], [team N], [key N], [model N], [service N], [route N], [target N], [policy]"

// groupSections groups the sections by kind and checks their names.
func (p *parser) groupSections(sections []*strictini.Section) {
	p.sectionsByKind, p.names = make(map[string][]sectionReader), make(map[string]map[string]bool)
	schema := make(map[string]sectionKind)
	for _, k := range p.schema() {
		schema[k.name] = k
		p.names[k.name] = make(map[string]bool)
	}
	for _, sec := range sections {
		words := strings.Fields(sec.Name)
		k, ok := schema[words[0]]
		if !ok || len(words) != k.nameWords+1 {
			p.faults.Add(sec.Line, "unknown section [%s]; accepted: %s", sec.Name, acceptedHeaders)
			continue
		}
		valid := true
		for _, w := range words[1:] {
			if !strictini.ValidName(w) {
				p.faults.Add(sec.Line, "[%s]: %q is not a name; accepted: letters, digits, dot, dash and underscore, at most %d", sec.Name, w, strictini.MaxNameBytes)
				valid = false
			}
		}
		name := strings.Join(words[1:], " ")
		p.names[k.name][name] = true
		if !valid {
			continue
		}
		if len(p.sectionsByKind[k.name]) == k.maxSections {
			p.faults.Add(sec.Line, "more than %d sections of kind %s", k.maxSections, k.name)
			continue
		}
		p.sectionsByKind[k.name] = append(p.sectionsByKind[k.name], sectionReader{name, strictini.NewReader(sec, &p.faults)})
	}
}

func (p *parser) parseAll() {
	for _, k := range p.schema() {
		for _, s := range p.sectionsByKind[k.name] {
			k.parse(s)
			s.Done()
		}
	}
	if len(p.sectionsByKind["policy"]) == 0 {
		p.parsePolicy(sectionReader{"", strictini.NewReader(&strictini.Section{Name: "policy"}, &p.faults)})
	}
}

// ref reads a key whose value names another section and checks that the section
// exists.
func (p *parser) ref(s sectionReader, key, kind string) string {
	v := s.Ref(key)
	if v != "" && !p.names[kind][v] {
		s.Fault(key, "there is no section [%s %s]", kind, v)
	}
	return v
}

// refs reads a key whose value lists names of other sections and checks that
// they exist. It returns nil if the key is missing.
func (p *parser) refs(s sectionReader, key, kind string) map[string]bool {
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
