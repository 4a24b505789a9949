// Package config parses the published configuration, an INI text, into an
// immutable Config. Parsing is a pure function of the text, so that all
// instances accept and reject the same texts.
package config
