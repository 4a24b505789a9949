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

// maxRejectionText bounds the error text kept of a rejected version, in bytes.
const maxRejectionText = 4 << 10

func (m *Manager) addAuditEntry(c audit.Change) {
	if m.cfg.AuditTrail != nil {
		c.At = time.Now()
		m.cfg.AuditTrail.Add(c)
	}
}

// recordConfigChange writes the changes of a new configuration to the log and the
// audit trail.
func (m *Manager) recordConfigChange(old, current *config.Config) {
	changes := config.Diff(old, current)
	m.cfg.Log.Emit(event.VersionApplied, zap.Int64("revision", current.Revision), zap.String("digest", hex.EncodeToString(current.Digest[:probeDigestBytes])), zap.Int("changes", len(changes)))
	m.addAuditEntry(audit.Change{Kind: audit.VersionApplied, Subject: confservice.ConfigName, Revision: current.Revision, New: hex.EncodeToString(current.Digest[:probeDigestBytes]), Reason: fmt.Sprintf("%d changes", len(changes))})
	for _, h := range config.UnsafeChanges(old, current) {
		m.cfg.Log.Emit(event.UnsafeConfigChange, zap.Int64("revision", current.Revision), zap.String("section", h.Section), zap.String("field", h.Field), zap.String("old", h.Old), zap.String("new", h.New))
	}
	if old == nil {
		return // after a start, every section would be listed
	}
	for i, c := range changes {
		if i == maxAuditChanges {
			m.addAuditEntry(audit.Change{Kind: audit.VersionApplied, Subject: "table", Revision: current.Revision, Reason: fmt.Sprintf("%d further changes", len(changes)-maxAuditChanges)})
			return
		}
		kind, name, _ := strings.Cut(c.Section, " ")
		change := audit.Change{Kind: audit.VersionApplied, Subject: c.Section + "/" + c.Field, Old: c.Old, New: c.New, Revision: current.Revision}
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
		m.addAuditEntry(change)
	}
}

func (m *Manager) recordConflict(name string, revision int64, source string) {
	m.conflicts.Add(1)
	m.cfg.Log.Emit(event.VersionConflict, zap.String("value", name), zap.Int64("revision", revision), zap.String("source", source))
}

func (m *Manager) recordRejection(name string, v Version, source string, err error) {
	m.rejections.Add(1)
	faults := err.Error()
	if len(faults) > maxRejectionText {
		faults = faults[:maxRejectionText]
	}
	m.lastRejection.Store(&Rejection{Value: name, Revision: v.Revision, Source: source, Faults: faults})
	e := event.VersionRejected
	if name == confservice.InstanceListName {
		e = event.InstanceListRejected
	}
	m.cfg.Log.Emit(e, zap.String("value", name), zap.Int64("revision", v.Revision), zap.String("source", source), zap.String("faults", faults))
	m.addAuditEntry(audit.Change{Kind: audit.VersionRejected, Subject: name, Revision: v.Revision, Reason: faults})
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

// Status returns the current state of the distribution.
func (m *Manager) Status() Status {
	version := m.configSync.current()
	return Status{
		Revision:      version.Revision,
		ListRevision:  m.listSync.current().Revision,
		Digest:        hex.EncodeToString(version.Digest[:]),
		Age:           m.Age(),
		Paused:        m.Paused(),
		TooOld:        m.TooOld(),
		Watching:      m.isWatcher(),
		Conflicts:     m.conflicts.Load(),
		Rejections:    m.rejections.Load(),
		LastRejection: m.lastRejection.Load(),
	}
}
