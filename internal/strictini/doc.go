// Package strictini reads INI texts strictly. gopkg.in/ini.v1 merges repeated
// sections, lets a later key replace an earlier one and knows no line numbers,
// so this package scans the lines itself, rejects what the library would
// accept silently, and reports all faults together with their lines.
package strictini
