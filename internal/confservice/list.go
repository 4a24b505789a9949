package confservice

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"

	"github.com/wigeonhill/wigeonhill/internal/strictini"
)

// Bounds on the instance list.
const (
	maxInstances = 2_000
	maxTargets   = 10_000
)

// InstanceList is the published list of live and leaving instances. It lags
// behind the fleet, so it never decides which instance holds a lease.
type InstanceList struct {
	Revision  int64
	Instances []Instance
	// LeavingTargets are the targets published as leaving. Other targets count
	// as live.
	LeavingTargets map[string]bool
}

// Instance is one entry of an InstanceList.
type Instance struct {
	Name           string
	CallersAddress string // IP:port
	PeerAddress    string // IP:port
	Region         string
	Domain         string
	Leaving        bool
}

// ParseList parses the JSON text of an instance list. A list with any error is
// rejected as a whole: with a partial list, instances would disagree about the
// fleet.
func ParseList(text []byte) (*InstanceList, error) {
	var raw struct {
		Instances []struct {
			Name, Callers, Peers, Region, Domain, State string
		} `json:"instances"`
		Targets []struct{ Name, State string } `json:"targets"`
	}
	if len(text) > maxValueBytes {
		return nil, errors.Newf("the instance list has %d bytes; at most %d are accepted", len(text), maxValueBytes)
	}
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&raw); err != nil {
		return nil, errors.Wrap(err, "instance list")
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("instance list: text after the end of the list")
	}
	if raw.Instances == nil {
		return nil, errors.New("instance list: field `instances` is missing or null")
	}
	if len(raw.Instances) > maxInstances || len(raw.Targets) > maxTargets {
		return nil, errors.Newf("instance list: more than %d instances or %d targets", maxInstances, maxTargets)
	}
	list := &InstanceList{LeavingTargets: make(map[string]bool)}
	names, addresses := make(map[string]bool), make(map[string]bool)
	for i, in := range raw.Instances {
		leaving, err := parseState(in.State)
		switch {
		case err != nil:
			return nil, errors.Wrapf(err, "instance list: entry %d", i)
		case !strictini.ValidName(in.Name) || !strictini.ValidName(in.Region) || !strictini.ValidName(in.Domain):
			return nil, errors.Newf("instance list: entry %d: name %q, region %q or domain %q is malformed", i, in.Name, in.Region, in.Domain)
		case !strictini.ValidAddress(in.Callers) || !strictini.ValidAddress(in.Peers):
			return nil, errors.Newf("instance list: entry %d: callers %q or peers %q is not IP:port", i, in.Callers, in.Peers)
		case names[in.Name] || addresses[in.Callers] || addresses[in.Peers] || in.Callers == in.Peers:
			return nil, errors.Newf("instance list: entry %d: name %s or one of its addresses is listed twice", i, in.Name)
		}
		names[in.Name], addresses[in.Callers], addresses[in.Peers] = true, true, true
		list.Instances = append(list.Instances, Instance{in.Name, in.Callers, in.Peers, in.Region, in.Domain, leaving})
	}
	seen := make(map[string]bool)
	for i, t := range raw.Targets {
		leaving, err := parseState(t.State)
		if err != nil || !strictini.ValidName(t.Name) || seen[t.Name] {
			return nil, errors.Newf("instance list: target %d: name %q or state %q is malformed or listed twice", i, t.Name, t.State)
		}
		seen[t.Name] = true
		if leaving {
			list.LeavingTargets[t.Name] = true
		}
	}
	return list, nil
}

func parseState(s string) (leaving bool, err error) {
	switch s {
	case "live":
		return false, nil
	case "leaving":
		return true, nil
	}
	return false, errors.Newf("state %q is not accepted; accepted: live, leaving", s)
}
