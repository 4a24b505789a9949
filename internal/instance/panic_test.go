package instance

import (
	"net/http"
	"strings"
	"testing"

	"github.com/wigeonhill/wigeonhill/internal/event"
	"github.com/wigeonhill/wigeonhill/internal/heartbeat"
)

type panickingMembers struct{}

func (panickingMembers) Members() []heartbeat.Member { panic("a fault of the test") }

// Guards against a panic that ends a request with a closed connection and no log line.
func TestPanicIsAnsweredAndLogged(t *testing.T) {
	d := newTestDeployment(t)
	target := newFakeTarget(t, "t-1")
	d.publishConfig(nil)
	d.listTarget(target, "a", "ready", 1)
	inst := d.startInstance("a", func(i *Instance) { i.gateway.Members = panickingMembers{} })
	eventually(t, "the instance is ready", inst.gateway.Ready)
	for _, method := range []string{"GET", "POST"} {
		if got := sendRequest(method, inst.url("/safe/x"), nil); got.status != http.StatusInternalServerError {
			t.Errorf("%s: %+v", method, got)
		}
	}
	eventually(t, "the panic is logged", func() bool { return strings.Contains(inst.log.String(), event.PanicRecovered.Name) })
}
