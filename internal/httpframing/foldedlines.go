package httpframing

import "github.com/cockroachdb/errors"

var errFoldedLine = errors.New("the head of the response has a line that begins with a blank")

// statusOffset is where the status stands in the first line of a head.
const statusOffset = len("HTTP/1.1 ")

// foldedLineFinder looks for lines of a head that begin with a blank. net/http appends
// them to the field before, as RFC 9112, section 5.2, permits, and shows nothing of it, but
// a field whose name begins with a blank looks the same.
type foldedLineFinder struct {
	// inHead is set until the head of the final response has ended.
	inHead bool
	// informational is set if the head is not that of the final response.
	informational bool
	// line is the number of the current line, column that of its bytes so far without
	// line ends.
	line, column int
}

// find returns the index in p, the next bytes of a connection, of the blank with which a
// line begins; -1 if there is none.
func (f *foldedLineFinder) find(p []byte) int {
	for i := 0; i < len(p) && f.inHead; i++ {
		switch b := p[i]; {
		case b == '\n' && f.column == 0 && f.line > 0:
			*f = foldedLineFinder{inHead: f.informational}
		case b == '\n':
			f.line, f.column = f.line+1, 0
		case b == '\r':
		case f.line > 0 && f.column == 0 && (b == ' ' || b == '\t'):
			return i
		default:
			if f.line == 0 && f.column == statusOffset {
				f.informational = b == '1'
			}
			f.column++
		}
	}
	return -1
}
