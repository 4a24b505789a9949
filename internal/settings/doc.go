// Package settings reads the settings of one process from a strict INI file: an
// unknown section or key, an invalid unit or a duplicate is an error that names
// its line.
package settings
