package settings

import (
	"net/url"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// Bounds on the settings file.
const (
	maxSettingsBytes      = 64 << 10 // bytes
	maxBootstrapAddresses = 32       // addresses
)

// instanceNamePattern allows no dots: an instance name is part of idempotency
// keys, whose parts are separated by dots.
var instanceNamePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

var sectionNames = []string{"instance", "listen", "platform", "peers", "bounds", "log", "operators"}

// Load reads and parses the settings file at path. The error lists all faults of
// its text, with their lines.
func Load(path string) (*Settings, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	if info.Size() > maxSettingsBytes {
		return nil, errors.Newf("settings %s: the file has %d bytes; at most %d are accepted", path, info.Size(), maxSettingsBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "reading settings")
	}
	s, err := Parse(text)
	return s, errors.Wrapf(err, "settings %s", path)
}

// Parse parses the text of a settings file. The error is a strictini.Faults
// that lists all faults with their lines.
func Parse(text []byte) (*Settings, error) {
	var c strictini.Collector
	sectionsByName := make(map[string]*strictini.Section)
	for _, sec := range strictini.Scan(text, maxSettingsBytes, &c) {
		sectionsByName[sec.Name] = sec
		if !slices.Contains(sectionNames, sec.Name) {
			c.Add(sec.Line, "unknown section [%s]; accepted: %s", sec.Name, strings.Join(sectionNames, ", "))
		}
	}
	s := &Settings{}
	for _, section := range s.sections() {
		sec := sectionsByName[section.name]
		if sec == nil {
			sec = &strictini.Section{Name: section.name}
		}
		r := strictini.NewReader(sec, &c)
		section.parse(r)
		r.Done()
	}
	if err := c.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

type section struct {
	name  string
	parse func(*strictini.Reader)
}

func (s *Settings) sections() []section {
	return []section{
		{"instance", s.parseInstance},
		{"listen", s.parseListen},
		{"platform", s.parsePlatform},
		{"peers", s.parsePeers},
		{"bounds", s.parseBounds},
		{"log", s.parseLog},
		{"operators", s.parseOperators},
	}
}

func (s *Settings) parseInstance(r *strictini.Reader) {
	r.Require("name", "region", "domain")
	s.Instance = Instance{Name: r.Text("name", ""), Region: r.Ref("region"), Domain: r.Ref("domain")}
	if r.Has("name") && !instanceNamePattern.MatchString(s.Instance.Name) {
		r.Fault("name", "%q is not accepted; accepted: lower-case letters, digits and dashes, at most 63", s.Instance.Name)
	}
}

func (s *Settings) parseListen(r *strictini.Reader) {
	r.Require("callers", "peers")
	s.Listen = Listen{Callers: r.Address("callers"), Peers: r.Address("peers"), Operators: r.Address("operators")}
	if !r.Has("operators") {
		s.Listen.Operators = "127.0.0.1:9400"
	}
	l := s.Listen
	if l.Callers == l.Peers && l.Peers != "" {
		r.Fault("peers", "%s is also the address for callers", l.Peers)
	}
	if l.Operators == l.Callers || l.Operators == l.Peers {
		r.Fault("operators", "%s is also the address for callers or peers", l.Operators)
	}
}

func (s *Settings) parsePlatform(r *strictini.Reader) {
	r.Require("config")
	s.Platform.ConfigServiceURL = r.Text("config", "")
	u, err := url.Parse(s.Platform.ConfigServiceURL)
	if r.Has("config") && (err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" || u.RawQuery != "" || u.Fragment != "" || u.User != nil) {
		r.Fault("config", "%q is not accepted; accepted: http://host:port or https://host:port, with an optional path", s.Platform.ConfigServiceURL)
	}
}

func (s *Settings) parsePeers(r *strictini.Reader) {
	s.Peers = Peers{
		Bootstrap: r.Addresses("bootstrap", maxBootstrapAddresses),
		Insecure:  r.Bool("insecure", false),
		CertFile:  r.Text("cert_file", ""),
		KeyFile:   r.Text("key_file", ""),
		CAFile:    r.Text("authority_file", ""),
	}
	for _, key := range []string{"cert_file", "key_file", "authority_file"} {
		switch {
		case s.Peers.Insecure && r.Has(key):
			r.Fault(key, "cannot be used with insecure = true")
		case !s.Peers.Insecure && !r.Has(key):
			r.Require(key)
		}
	}
}

func (s *Settings) parseBounds(r *strictini.Reader) {
	const kib, mib, gib = int64(1) << 10, int64(1) << 20, int64(1) << 30
	const ms, sec, min, hour = time.Millisecond, time.Second, time.Minute, time.Hour
	s.Bounds = Bounds{
		MaxBody:         r.Bytes("max_body", 8*mib, kib, gib),
		MaxHeader:       int(r.Bytes("max_header", 64*kib, kib, mib)),
		MaxStreams:      r.Int("max_streams", 4096, 1, 1_000_000),
		StreamBuffer:    r.Bytes("stream_buffer", 256*kib, 4*kib, gib),
		TeamBuffer:      r.Bytes("team_buffer", 64*mib, 4*kib, 64*gib),
		ResponseBuffer:  r.Bytes("response_buffer", 4*mib, 64*kib, 256*gib),
		ProcessBuffer:   r.Bytes("process_buffer", 512*mib, 4*kib, 256*gib),
		MaxConfigAge:    r.Duration("max_edition_age", hour, sec, 7*24*hour),
		RequestTimeout:  r.Duration("request_timeout", 10*min, 100*ms, 24*hour),
		ShutdownTimeout: r.Duration("shutdown_timeout", 11*min, 100*ms, 25*hour),
		ReadTimeout:     r.Duration("read_timeout", 30*sec, 100*ms, hour),
		WriteTimeout:    r.Duration("write_timeout", 30*sec, 100*ms, hour),
		IdleTimeout:     r.Duration("idle_timeout", 2*min, 100*ms, 24*hour),
		MaxConns:        r.Int("max_connections", 0, 0, 1_000_000),
		MaxPeerConns:    r.Int("max_peer_connections", 512, 1, 1_000_000),
	}
	s.Bounds.IntakeBuffer = r.Bytes("intake_buffer", max(s.Bounds.ProcessBuffer/4, 4*s.Bounds.MaxBody), 64*kib, 256*gib)
	b := s.Bounds
	if b.MaxBody > b.TeamBuffer {
		r.Fault("max_body", "%d bytes exceed team_buffer of %d", b.MaxBody, b.TeamBuffer)
	}
	// A body and the smaller buffer that it is copied from are held at the same time.
	if 2*b.MaxBody > b.IntakeBuffer {
		r.Fault("max_body", "%d bytes exceed half of intake_buffer of %d", b.MaxBody, b.IntakeBuffer)
	}
	if b.StreamBuffer > b.TeamBuffer {
		r.Fault("stream_buffer", "%d bytes exceed team_buffer of %d", b.StreamBuffer, b.TeamBuffer)
	}
	if b.TeamBuffer > b.ProcessBuffer {
		r.Fault("team_buffer", "%d bytes exceed process_buffer of %d", b.TeamBuffer, b.ProcessBuffer)
	}
	// Graceful shutdown aborts no request (I12).
	if b.ShutdownTimeout < b.RequestTimeout {
		r.Fault("shutdown_timeout", "%v is shorter than request_timeout of %v, so that a shutdown would abort requests", b.ShutdownTimeout, b.RequestTimeout)
	}
}

func (s *Settings) parseLog(r *strictini.Reader) {
	s.Log = Log{
		Format: r.OneOf("format", "json", "json", "console"),
		Level:  r.OneOf("level", "info", "debug", "info", "warn", "error"),
	}
}

func (s *Settings) parseOperators(r *strictini.Reader) {
	s.Operators = Operators{
		AuditEntries:   r.Int("audit_entries", 4096, 16, 1_000_000),
		RequestRecords: r.Int("request_records", 8192, 16, 1_000_000),
	}
}
