package grant

// Balance returns the unspent tokens of team that this instance holds.
func (m *Manager) Balance(team string) float64 { return m.holder.Balance(m.fast.Now(), team) }
