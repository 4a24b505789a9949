package fleet

import (
	"net"
	"os/exec"
	"sync"
	"testing"
)

// A process can listen at a port while it is reserved and afterwards, even while
// others are being started: until they run their program, they hold all sockets of
// their parent.
func TestReservedPortsCanBeUsed(t *testing.T) {
	stop := make(chan struct{})
	var starters sync.WaitGroup
	for range 4 {
		starters.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	inUse := 0
	for round := range 600 {
		p := newPorts()
		address, err := p.allocate()
		if err != nil {
			t.Fatal(err)
		}
		if round%2 == 1 {
			p.close()
		}
		if l, err := net.Listen("tcp", address); err != nil {
			inUse++
		} else {
			_ = l.Close()
		}
		p.close()
	}
	close(stop)
	starters.Wait()
	if inUse > 0 {
		t.Errorf("%d of 600 times a port was in use", inUse)
	}
}
