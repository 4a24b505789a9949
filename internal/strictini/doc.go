// Package strictini parses INI texts strictly. gopkg.in/ini.v1 merges repeated
// sections, lets a later key replace an earlier one and reports no line numbers.
// This package therefore scans the lines itself, rejects what that library
// accepts silently, and reports all faults at once with their lines.
package strictini
