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

// MaxName bounds the length of names in bytes.
const MaxName = 64

var numberPattern = regexp.MustCompile(`^[0-9]+(\.[0-9]+)?(e[0-9]{1,2})?$`)

// ValidName reports whether s can name a section or be referred to: letters,
// digits, dots, dashes and underscores, with a letter or digit first.
func ValidName(s string) bool {
	for i := range len(s) {
		c := s[i]
		alphanumeric := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alphanumeric && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return s != "" && len(s) <= MaxName
}

// Reader reads the keys of one section. Each method reports a bad value to
// the Collector and returns the default instead.
type Reader struct {
	*Section
	c    *Collector
	used []string
}

// NewReader returns a Reader of s.
func NewReader(s *Section, c *Collector) *Reader { return &Reader{Section: s, c: c} }

// LineOf returns the line of a key, or that of the section if it is absent.
func (r *Reader) LineOf(key string) int {
	if k, ok := r.Lookup(key); ok {
		return k.Line
	}
	return r.Line
}

// Fault reports a fault of a key, or of the section if key is empty.
func (r *Reader) Fault(key, format string, args ...any) {
	where := "[" + r.Name + "]"
	if key != "" {
		where += " " + key
	}
	r.c.Add(r.LineOf(key), "%s: %s", where, fmt.Sprintf(format, args...))
}

func (r *Reader) get(key string) (string, bool) {
	r.used = append(r.used, key)
	k, ok := r.Lookup(key)
	return k.Value, ok
}

// Done reports the keys that no method has asked for.
func (r *Reader) Done() {
	slices.Sort(r.used)
	for _, k := range r.Keys {
		if !slices.Contains(r.used, k.Name) {
			r.c.Add(k.Line, "[%s] has no key %s; accepted: %s", r.Name, k.Name, strings.Join(r.used, ", "))
		}
	}
}

// Has reports whether the key is present.
func (r *Reader) Has(key string) bool { _, ok := r.Lookup(key); return ok }

// Require reports a fault for each key that is absent.
func (r *Reader) Require(keys ...string) {
	for _, k := range keys {
		if !r.Has(k) {
			r.c.Add(r.Line, "[%s] needs the key %s", r.Name, k)
		}
	}
}

// Text returns the value as it stands.
func (r *Reader) Text(key, def string) string {
	if v, ok := r.get(key); ok {
		return v
	}
	return def
}

// Ref returns the name of another section or thing.
func (r *Reader) Ref(key string) string {
	v, ok := r.get(key)
	if ok && !ValidName(v) {
		r.Fault(key, "%q is not a name; accepted: letters, digits, dot, dash and underscore, at most %d", v, MaxName)
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

// Bytes accepts a number of bytes from lo to hi, with KiB, MiB or GiB if wanted.
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
		r.Fault(key, "%q is not accepted; accepted: %d to %d bytes, with KiB, MiB or GiB if wanted", v, lo, hi)
		return def
	}
	return n << shift
}

// List accepts values separated by commas, without repetitions and at most max.
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

// Address accepts an IP:port that can be connected to.
func (r *Reader) Address(key string) string {
	v, ok := r.get(key)
	if ok && !ValidAddress(v) {
		r.Fault(key, "%q is not accepted; accepted: IP:port with a specific IP address", v)
	}
	return v
}

// Addresses accepts a list of IP:port.
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
// texts.
func ValidAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.String() == s && a.Port() != 0 && a.Addr().Zone() == "" && !a.Addr().IsUnspecified() && !a.Addr().IsMulticast()
}
