// Package config parses the published table, an INI text, into an immutable
// Edition. Parsing is a pure function of the text, so that every instance
// accepts or rejects the same text.
package config
