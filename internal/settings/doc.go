// Package settings reads the process settings of one instance from a strict
// INI file: an unknown section or key, a bad unit or a duplicate is an error
// with its line.
package settings
