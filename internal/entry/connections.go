package entry

import (
	"io"
	"log"

	"github.com/wigeonhill/wigeonhill/internal/dispatch"
	"github.com/wigeonhill/wigeonhill/internal/result"
)

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }

// reservingReader reserves the bytes that are read of a body for the team.
type reservingReader struct {
	io.Reader
	memory *dispatch.Reservation
}

// Read implements io.Reader. The error of a reservation is a *result.Error.
func (r reservingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		if err := r.memory.Reserve(int64(n), result.NotRun); err != nil {
			return 0, err
		}
	}
	return n, err
}
