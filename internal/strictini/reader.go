package strictini

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// MaxNameBytes bounds the length of names.
const MaxNameBytes = 64

var numberPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?(e[0-9]{1,2})?$`)

// ValidName reports whether s is a valid name of a section or of an object that
// values refer to: letters, digits, dots, dashes and underscores, with a letter
// or digit first.
func ValidName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= MaxNameBytes
}

// Reader reads and checks the keys of one section. Methods that accept only some
// values report an invalid value to the Collector; those with a default return
// the default instead.
type Reader struct {
	*Section
	collector *Collector
	requested []string
}

// NewReader returns a Reader of s.
func NewReader(s *Section, c *Collector) *Reader { return &Reader{Section: s, collector: c} }

// LineOf returns the line of a key, or that of the section if it is absent.
func (r *Reader) LineOf(key string) int {
	if k, ok := r.Lookup(key); ok {
		return k.Line
	}
	return r.Line
}

// Fault reports a fault of a key, or of the section if key is empty. The fault
// names the line of the key if it is present, else that of the section.
func (r *Reader) Fault(key, format string, args ...any) {
	where := "[" + r.Name + "]"
	if key != "" {
		where += " " + key
	}
	r.collector.Add(r.LineOf(key), "%s: %s", where, fmt.Sprintf(format, args...))
}

func (r *Reader) get(key string) (string, bool) {
	r.requested = append(r.requested, key)
	k, ok := r.Lookup(key)
	return k.Value, ok
}

// Done reports as unknown each key that no method has requested. It is called
// after all accepted keys have been read.
func (r *Reader) Done() {
	slices.Sort(r.requested)
	for _, k := range r.Keys {
		if !slices.Contains(r.requested, k.Name) {
			r.collector.Add(k.Line, "[%s] has no key %s; accepted: %s", r.Name, k.Name, strings.Join(r.requested, ", "))
		}
	}
}

// Has reports whether the key is present.
func (r *Reader) Has(key string) bool { _, ok := r.Lookup(key); return ok }

// Require reports a fault for each key that is absent.
func (r *Reader) Require(keys ...string) {
	for _, k := range keys {
		if !r.Has(k) {
			r.collector.Add(r.Line, "[%s] needs the key %s", r.Name, k)
		}
	}
}

// Text returns the value unchanged.
func (r *Reader) Text(key, def string) string {
	if v, ok := r.get(key); ok {
		return v
	}
	return def
}

// Ref accepts a valid name that refers to another section or object.
func (r *Reader) Ref(key string) string {
	v, ok := r.get(key)
	if ok && !ValidName(v) {
		r.Fault(key, "%q is not a name; accepted: letters, digits, dot, dash and underscore, at most %d", v, MaxNameBytes)
		return ""
	}
	return v
}

// OneOf returns one of the accepted values.
func (r *Reader) OneOf(key, def string, accepted ...string) string {
	v, ok := r.get(key)
	if !ok {
		return def
	}
	if !slices.Contains(accepted, v) {
		r.Fault(key, "%q is not accepted; accepted: %s", v, strings.Join(accepted, ", "))
		return def
	}
	return v
}

// Bool accepts true and false only.
func (r *Reader) Bool(key string, def bool) bool {
	return r.OneOf(key, strconv.FormatBool(def), "true", "false") == "true"
}

// Float accepts decimal numbers from lo to hi.
func (r *Reader) Float(key string, def, lo, hi float64) float64 {
	v, ok := r.get(key)
	if !ok {
		return def
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !numberPattern.MatchString(v) || math.IsInf(f, 0) || f < lo || f > hi {
		r.Fault(key, "%q is not accepted; accepted: a number from %g to %g", v, lo, hi)
		return def
	}
	return f
}

// Int accepts decimal integers from lo to hi.
func (r *Reader) Int(key string, def, lo, hi int) int {
	v, ok := r.get(key)
	if !ok {
		return def
	}
	n, err := strconv.Atoi(v)
	if err != nil || !numberPattern.MatchString(v) || n < lo || n > hi {
		r.Fault(key, "%q is not accepted; accepted: an integer from %d to %d", v, lo, hi)
		return def
	}
	return n
}

// Duration accepts Go durations from lo to hi.
func (r *Reader) Duration(key string, def, lo, hi time.Duration) time.Duration {
	v, ok := r.get(key)
	if !ok {
		return def
	}
	d, err := time.ParseDuration(v)
	if err != nil || d < lo || d > hi {
		r.Fault(key, "%q is not accepted; accepted: a duration with a unit, such as 500ms, from %v to %v", v, lo, hi)
		return def
	}
	return d
}

// Bytes accepts a number of bytes from lo to hi, with an optional unit KiB, MiB
// or GiB.
func (r *Reader) Bytes(key string, def, lo, hi int64) int64 {
	v, ok := r.get(key)
	if !ok {
		return def
	}
	digits, shift := v, 0
	for i, unit := range []string{"KiB", "MiB", "GiB"} {
		if rest, found := strings.CutSuffix(v, unit); found {
			digits, shift = rest, 10*(i+1)
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n < lo>>shift || n > hi>>shift || n<<shift < lo || digits[0] == '+' {
		r.Fault(key, "%q is not accepted; accepted: %d to %d bytes, with an optional unit KiB, MiB or GiB", v, lo, hi)
		return def
	}
	return n << shift
}

// List accepts at most max values separated by commas, without duplicates.
func (r *Reader) List(key string, max int) []string {
	v, ok := r.get(key)
	if !ok {
		return nil
	}
	var out []string
	for _, item := range strings.Split(v, ",") {
		item = strings.TrimSpace(item)
		switch {
		case item == "":
			r.Fault(key, "empty item in a list")
		case slices.Contains(out, item):
			r.Fault(key, "%q is listed twice", item)
		default:
			out = append(out, item)
		}
		if len(out) > max {
			r.Fault(key, "more than %d items", max)
			return out[:max]
		}
	}
	return out
}

// Address accepts an IP:port for which ValidAddress is true.
func (r *Reader) Address(key string) string {
	v, ok := r.get(key)
	if ok && !ValidAddress(v) {
		r.Fault(key, "%q is not accepted; accepted: IP:port with a specific IP address", v)
	}
	return v
}

// Addresses accepts a list of at most max addresses as in Address.
func (r *Reader) Addresses(key string, max int) []string {
	list := r.List(key, max)
	for _, v := range list {
		if !ValidAddress(v) {
			r.Fault(key, "%q is not accepted; accepted: IP:port with a specific IP address", v)
		}
	}
	return list
}

// ValidAddress reports whether s is an IP:port in canonical form that can be
// connected to. Only one form is accepted, so that equal addresses are equal
// strings.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.String() == s && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
