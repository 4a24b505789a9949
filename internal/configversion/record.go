package configversion

import (
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/wigeonhill/wigeonhill/internal/audit"
	"github.com/wigeonhill/wigeonhill/internal/config"
	"github.com/wigeonhill/wigeonhill/internal/confservice"
	"github.com/wigeonhill/wigeonhill/internal/event"
)

// maxFaultText bounds the faults kept of a rejected text, in bytes.
const maxFaultText = 4 << 10

func (m *Manager) add(c audit.Change) {
	if m.cfg.Trail != nil {
		c.At = time.Now()
		m.cfg.Trail.Add(c)
	}
}

// recordEdition writes the changes of a new edition to the log and the trail.
func (m *Manager) recordEdition(old, e *config.Config) {
	changes := config.Diff(old, e)
	m.cfg.Log.Emit(event.EditionTaken, zap.Int64("revision", e.Revision), zap.String("digest", hex.EncodeToString(e.Digest[:probeDigest])), zap.Int("changes", len(changes)))
	m.add(audit.Change{Kind: audit.EditionTaken, Subject: confservice.TableName, Revision: e.Revision, New: hex.EncodeToString(e.Digest[:probeDigest]), Reason: fmt.Sprintf("%d changes", len(changes))})
	for _, h := range config.Hazards(old, e) {
		m.cfg.Log.Emit(event.EditionHazard, zap.Int64("revision", e.Revision), zap.String("section", h.Section), zap.String("field", h.Field), zap.String("old", h.Old), zap.String("new", h.New))
	}
	if old == nil {
		return // a start; every section would be listed
	}
	for i, c := range changes {
		if i == maxTrail {
			m.add(audit.Change{Kind: audit.EditionTaken, Subject: "table", Revision: e.Revision, Reason: fmt.Sprintf("%d further changes", len(changes)-maxTrail)})
			return
		}
		kind, name, _ := strings.Cut(c.Section, " ")
		change := audit.Change{Kind: audit.EditionTaken, Subject: c.Section + "/" + c.Field, Old: c.Old, New: c.New, Revision: e.Revision}
		switch kind {
		case "team":
			change.Team = name
		case "target":
			change.Kind, change.Target = audit.TargetChanged, name
		case "key":
			if c.Field == "team" {
				change.Team = c.Old + c.New
			}
			if c.New == "" {
				change.Kind = audit.KeyRemoved
			}
		}
		m.add(change)
	}
}

func (m *Manager) conflict(name string, revision int64, source string) {
	m.conflicts.Add(1)
	m.cfg.Log.Emit(event.EditionConflict, zap.String("value", name), zap.Int64("revision", revision), zap.String("source", source))
}

func (m *Manager) rejected(name string, t Text, source string, err error) {
	m.rejections.Add(1)
	faults := err.Error()
	if len(faults) > maxFaultText {
		faults = faults[:maxFaultText]
	}
	m.lastReject.Store(&Rejection{Value: name, Revision: t.Revision, Source: source, Faults: faults})
	e := event.EditionRejected
	if name == confservice.InstancesName {
		e = event.ListRejected
	}
	m.cfg.Log.Emit(e, zap.String("value", name), zap.Int64("revision", t.Revision), zap.String("source", source), zap.String("faults", faults))
	m.add(audit.Change{Kind: audit.EditionRejected, Subject: name, Revision: t.Revision, Reason: faults})
}

// Status describes the distribution for operators and metrics.
type Status struct {
	Revision      int64         `json:"revision"`
	ListRevision  int64         `json:"list_revision"`
	Digest        string        `json:"digest"`
	Age           time.Duration `json:"age_ns"`
	Paused        bool          `json:"paused"`
	TooOld        bool          `json:"too_old"`
	Watching      bool          `json:"watching"`
	Conflicts     uint64        `json:"conflicts"`
	Rejections    uint64        `json:"rejections"`
	LastRejection *Rejection    `json:"last_rejection,omitempty"`
}

// Status returns the present state.
func (m *Manager) Status() Status {
	t := m.table.current()
	return Status{
		Revision:      t.Revision,
		ListRevision:  m.list.current().Revision,
		Digest:        hex.EncodeToString(t.Digest[:]),
		Age:           m.Age(),
		Paused:        m.Paused(),
		TooOld:        m.TooOld(),
		Watching:      m.watches(),
		Conflicts:     m.conflicts.Load(),
		Rejections:    m.rejections.Load(),
		LastRejection: m.lastReject.Load(),
	}
}
