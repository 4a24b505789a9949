package catalog

import "github.com/wigeonhill/wigeonhill/internal/deployment"

// Known says how much of the store's state an instance knows.
type Known struct {
	// Published and Targets are the revisions of the store at which the published state
	// and the targets last changed, as far as the instance knows.
	Published, Targets deployment.Revision
	// ConfigVersion is the version of the configuration in force; 0 if there is none.
	// An instance that has read an older copy of the store has the later revision, but
	// may have the older configuration.
	ConfigVersion int64
}

// LaterThan reports whether any part of k is later than that of o.
func (k Known) LaterThan(o Known) bool {
	return o.Published.Before(k.Published) || o.Targets.Before(k.Targets) || k.ConfigVersion > o.ConfigVersion
}

// Known returns how much the view knows.
func (v *View) Known() Known {
	return Known{Published: v.PublishedChange, Targets: v.TargetsChange, ConfigVersion: v.configVersion()}
}

func (v *View) configVersion() int64 {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// HasPublished reports whether the published state that k names is known: the
// configuration and all that the store changed until then.
func (m *Manager) HasPublished(k Known) bool {
	v := m.Current()
	return !v.PublishedRevision.Before(k.Published) && v.configVersion() >= k.ConfigVersion
}
