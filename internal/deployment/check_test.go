package deployment

import (
	"strings"
	"testing"
	"time"
)

func goodConfig() *Config {
	return &Config{
		Version:       3,
		Routes:        []*Route{{Name: "r", Host: "h", Prefix: "/a/", Timeout: time.Second, FirstByteObjective: time.Second, Split: []WeightedService{{Service: "s", Weight: 1}}}},
		Services:      map[string]*Service{"s": {Name: "s"}},
		Teams:         map[string]*Team{"t": {Name: "t", Rate: 5}},
		TeamByKeyHash: map[string]string{"hash": "t"},
	}
}

func TestCheckNamesEveryFault(t *testing.T) {
	if err := goodConfig().Validate(); err != nil {
		t.Errorf("a good configuration: %v", err)
	}
	c := goodConfig()
	c.Version = 0
	c.Routes = append(c.Routes, &Route{Name: "q", Host: "h", Prefix: "/a/", Split: []WeightedService{{Service: "gone"}}}, &Route{Name: "p", Prefix: "a"})
	c.Teams["u"] = &Team{Name: "u", Rate: -1}
	err := c.Validate()
	if err == nil {
		t.Fatal("no fault found")
	}
	for _, want := range []string{
		"the version is 0", "route q: host and prefix are those of route r", `route q: there is no service "gone"`, "route q: the weights", "route q: timeout",
		"route p: the prefix", "route p: no host", "team u: rate -1", "team u: no key",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not named in:\n%v", want, err)
		}
	}
}
