package instance

import (
	"bytes"
	"testing"
	"testing/iotest"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/deployment"
	"github.com/wigeonhill/wigeonhill/internal/gateway"
	"github.com/wigeonhill/wigeonhill/internal/intake"
)

// Guards ordinary callers against limits below the published ones: they reuse
// connections that were idle for four fifths of the idle timeout.
func TestLimitsOfCallersAreNotBelowThePublished(t *testing.T) {
	for _, published := range []deployment.Limits{
		{}, {MaxHeader: 16384, MaxBody: 4194304, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		{MaxHeader: 128 << 10, HeaderTimeout: time.Minute, IdleTimeout: 10 * time.Minute},
	} {
		l := callerLimits(published, 100)
		if l.MaxConns != 100 || l.MaxHeadBytes < max(published.MaxHeader, 1) || l.HeadTimeout <= published.HeaderTimeout || l.IdleTimeout <= published.IdleTimeout || l.BodyTimeout <= 0 {
			t.Errorf("published %+v, in force %+v", published, l)
		}
	}
}

// Guards a single body of the published size, in chunks, on the smallest instance.
func TestSingleBodyFitsTheSmallestInstance(t *testing.T) {
	const maxBody = 4194304
	budget := gateway.NewIntakeBudget(&deployment.Settings{MemoryBytes: 144 << 20})
	body, err := intake.ReadBody(iotest.HalfReader(bytes.NewReader(make([]byte, maxBody))), -1, maxBody, budget)
	if err != nil || len(body.Bytes) != maxBody {
		t.Fatalf("%d bytes, %v", len(body.Bytes), err)
	}
	body.Release()
}
