package sse

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll returns the pieces of a stream joined, the ids of its events and the
// error that ended it.
func readAll(r io.Reader) (all string, ids []string, err error) {
	e := NewReader(r)
	for {
		p, err := e.Next()
		all += string(p.Raw)
		if err != nil {
			return all, ids, err
		}
		if !p.More && !p.Comment {
			ids = append(ids, p.ID)
		}
	}
}

func TestEventsAreWholeWhereverStreamEnds(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		var events []string
		for _, event := range []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n: c\ndata: c\n\n", "data\n\n", "\n", "id:4\ndata: d\n\n", ": the end\n"} {
			events = append(events, strings.ReplaceAll(event, "\n", lineEnd))
		}
		text := strings.Join(events, "")
		for cut := range len(text) + 1 {
			want, wantErr := "", io.ErrUnexpectedEOF
			for _, event := range events {
				if len(want+event) > cut {
					break
				}
				want += event
			}
			if len(want) == cut {
				wantErr = io.EOF
			}
			for name, r := range map[string]io.Reader{"at once": strings.NewReader(text[:cut]), "by bytes": iotest.OneByteReader(strings.NewReader(text[:cut]))} {
				if all, _, err := readAll(r); all != want || err != wantErr {
					t.Errorf("line end %q, cut after %d bytes, %s: %q, %v, want %q, %v", lineEnd, cut, name, all, err, want, wantErr)
				}
			}
		}
		if _, ids, _ := readAll(strings.NewReader(text)); strings.Join(ids, ",") != "1,2,,4" {
			t.Errorf("line end %q: ids %v", lineEnd, ids)
		}
	}
}

func TestMixedLineEndsAreKeptWithTheirEvents(t *testing.T) {
	events := []string{"id: 1\rdata: a\r\ndata: b\n\r\n", "id: 2\r\ndata: c\r\r\n", "id: 3\n\n"}
	for _, r := range []io.Reader{strings.NewReader(strings.Join(events, "")), iotest.OneByteReader(strings.NewReader(strings.Join(events, "")))} {
		all, ids, err := readAll(r)
		if all != strings.Join(events, "") || strings.Join(ids, ",") != "1,2,3" || err != io.EOF {
			t.Errorf("%q with ids %v, %v", all, ids, err)
		}
	}
}

// A stream whose lines end with CR must not wait for the byte after the event.
func TestEventIsReturnedBeforeNextByteArrives(t *testing.T) {
	for _, text := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r"} {
		waiting := errors.New("the reader waits for more")
		p, err := NewReader(io.MultiReader(strings.NewReader(text), iotest.ErrReader(waiting))).Next()
		if err != nil || string(p.Raw) != text {
			t.Errorf("%q: %q, %v", text, p.Raw, err)
		}
	}
}

func TestLongEventCutAnywhereIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{
		"long lines": strings.Repeat("data: "+strings.Repeat("x", MaxEventBytes-100)+"\n", 3) + "data: z",
		"many lines": strings.Repeat("data: "+strings.Repeat("y", 100)+"\n", 3*MaxEventBytes/100) + "data: z",
	} {
		for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
			event := strings.ReplaceAll("id: 7\n"+body+"\n\n", "\n", lineEnd)
			next := strings.ReplaceAll("id: 8\ndata: z\n\n", "\n", lineEnd)
			all, ids, err := readAll(strings.NewReader(event + next))
			if all != event+next || fmt.Sprint(ids) != "[7 8]" || err != io.EOF {
				t.Errorf("%s, line end %q: %d of %d bytes, ids %v, %v", name, lineEnd, len(all), len(event+next), ids, err)
			}
			for _, cut := range []int{1, 100, MaxEventBytes, MaxEventBytes + 1, 2*MaxEventBytes + 50, len(event) - 2, len(event) - 1} {
				all, ids, err := readAll(strings.NewReader(event[:cut]))
				if !strings.HasPrefix(event, all) || len(ids) > 0 || err != io.ErrUnexpectedEOF {
					t.Errorf("%s, line end %q, cut after %d: %d bytes, ids %v, %v", name, lineEnd, cut, len(all), ids, err)
				}
			}
		}
	}
}

// endlessReader returns the same byte without end and counts the bytes read.
type endlessReader struct{ n int64 }

func (r *endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	r.n += int64(len(p))
	return len(p), nil
}

// A stream without line ends must not fill the memory.
func TestEndlessLineIsBounded(t *testing.T) {
	endless := &endlessReader{}
	p, err := NewReader(endless).Next()
	if err != ErrLineTooLong || len(p.Raw) > 0 || endless.n > 2*MaxEventBytes {
		t.Errorf("read %d bytes, returned %d and %v", endless.n, len(p.Raw), err)
	}
}

func TestErrorOfStreamComesWithoutPartialEvent(t *testing.T) {
	broken := errors.New("connection reset")
	r := NewReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(broken)))
	if p, err := r.Next(); string(p.Raw) != "id: 1\ndata: a\n\n" || p.ID != "1" || err != nil {
		t.Fatalf("first event %+v, %v", p, err)
	}
	if p, err := r.Next(); len(p.Raw) != 0 || err != broken {
		t.Errorf("after the reset: %+v, %v", p, err)
	}
}

func TestDataJoinsLines(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		raw := strings.ReplaceAll(": note\nevent: x\ndata: a\ndata:b\ndata:\ndata:  c\n\n", "\n", lineEnd)
		if got := string(Data([]byte(raw))); got != "a\nb\n\n c" {
			t.Errorf("line end %q: %q", lineEnd, got)
		}
	}
}

func TestContentTypeIsComparedAsMediaType(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream": true, "Text/Event-Stream;charset=UTF-8": true, " text/event-stream ; charset=utf-8": true, "text/event-stream; =": true,
		"text/event-streams": false, "text/plain": false, "": false,
	} {
		if got := IsStream(http.Header{"Content-Type": {contentType}}); got != want {
			t.Errorf("%q: %v", contentType, got)
		}
	}
}

func FuzzReaderReturnsEachByteOnce(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n", uint16(3))
	f.Add("id: 1\r\ndata: a\r\n\r\n: c\r\r\n", uint16(1))
	f.Fuzz(func(t *testing.T, text string, cut uint16) {
		at := min(int(cut), len(text))
		whole, ids, err := readAll(strings.NewReader(text))
		split, splitIDs, splitErr := readAll(io.MultiReader(strings.NewReader(text[:at]), strings.NewReader(text[at:])))
		// The LF of a CRLF that ends a stream of CRs may come with the next event.
		if strings.TrimSuffix(whole, "\n") != strings.TrimSuffix(split, "\n") || fmt.Sprint(ids) != fmt.Sprint(splitIDs) || err != splitErr {
			t.Fatalf("%q %v %v, in two reads %q %v %v", whole, ids, err, split, splitIDs, splitErr)
		}
		if !strings.HasPrefix(text, whole) || (err == io.EOF) != (whole == text) {
			t.Fatalf("%q of %q, %v", whole, text, err)
		}
	})
}
