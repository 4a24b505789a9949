package deployment

import (
	"strings"
	"testing"
	"time"
)

func validConfig() *Config {
	return &Config{
		Version:       3,
		Routes:        []*Route{{Name: "r", Host: "h", Prefix: "/a/", Timeout: time.Second, FirstByteObjective: time.Second, Split: []WeightedService{{Service: "s", Weight: 1}}}},
		Services:      map[string]*Service{"s": {Name: "s"}},
		Teams:         map[string]*Team{"t": {Name: "t", Rate: 5}},
		TeamByKeyHash: map[string]string{"hash": "t"},
	}
}

// Guards against a check that stops at its first fault and hides the others from
// the operator.
func TestValidateReportsEveryFault(t *testing.T) {
	if err := validConfig().Validate(); err != nil {
		t.Errorf("a valid configuration was rejected: %v", err)
	}
	c := validConfig()
	c.Version = 0
	c.Routes = append(c.Routes, &Route{Name: "q", Host: "h", Prefix: "/a/", Split: []WeightedService{{Service: "gone"}}}, &Route{Name: "p", Prefix: "a"})
	c.Teams["u"] = &Team{Name: "u", Rate: -1}
	err := c.Validate()
	if err == nil {
		t.Fatal("a faulty configuration was accepted")
	}
	for _, want := range []string{
		"the version is 0", "route q: host and prefix are those of route r", `route q: there is no service "gone"`, "route q: the weights", "route q: timeout",
		"route p: the prefix", "route p: no host", "team u: rate -1", "team u: no key",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not reported in:\n%v", want, err)
		}
	}
}
