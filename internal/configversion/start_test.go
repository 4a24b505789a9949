package configversion_test

import (
	"testing"
	"time"
)

// Guards against a start that never obtains the edition or the members.
func TestStart(t *testing.T) {
	inTime(t, func(t *testing.T) {
		w := newWorld(9, 3, 2, 1)
		w.publish("instances", 1, w.listText())
		w.publish("table", 5, tableText(5))
		w.startAll()
		defer w.stopAll()
		time.Sleep(8 * time.Second)
		for _, n := range w.nodes {
			if n.revision() != 5 {
				em, _ := n.managers()
				t.Errorf("%s serves revision %d: %+v", n.self.Name, n.revision(), em.Status())
			}
			_, mm := n.managers()
			if got := len(mm.Live("")); got != 9 {
				t.Errorf("%s sees %d live instances", n.self.Name, got)
			}
		}
	})
}
