package configversion_test

import (
	"testing"
	"time"
)

// Guards against a start after which an instance never obtains the configuration
// or the members.
func TestStart(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		sim := newSimulation(9, 3, 2, 1)
		sim.publish("instances", 1, sim.instanceListText())
		sim.publish("table", 5, configText(5))
		sim.startAll()
		defer sim.stopAll()
		time.Sleep(8 * time.Second)
		for _, n := range sim.nodes {
			if n.revision() != 5 {
				cm, _ := n.managers()
				t.Errorf("%s serves revision %d: %+v", n.self.Name, n.revision(), cm.Status())
			}
			_, mm := n.managers()
			if got := len(mm.Live("")); got != 9 {
				t.Errorf("%s sees %d live instances", n.self.Name, got)
			}
		}
	})
}
