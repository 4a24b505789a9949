package table

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"testing"
)

// largeTable has the size expected within two years: 15 regions, 2,400 teams
// with a key each, 24 models and 1,600 targets.
func largeTable() []byte {
	var b bytes.Buffer
	for i := range 15 {
		fmt.Fprintf(&b, "[region region-%02d]\nseats = 10.%d.0.1:7200, 10.%d.0.2:7200, 10.%d.0.3:7200, 10.%d.0.4:7200, 10.%d.0.5:7200\n", i, i, i, i, i, i)
	}
	for i := range 24 {
		fmt.Fprintf(&b, "[model model-%02d]\nmax_output = 4096\n", i)
	}
	for i := range 15 {
		fmt.Fprintf(&b, "[residency rule-%02d]\nregions = region-%02d\n", i, i)
	}
	for i := range 2400 {
		fmt.Fprintf(&b, "[team team-%04d]\nweight = 2\nrate = 460\nburst = 20000\n", i)
		if i%4 == 0 {
			fmt.Fprintf(&b, "residency = rule-%02d\n", i%15)
		}
		fmt.Fprintf(&b, "[key team-%04d-1]\nteam = team-%04d\nsha256 = %x\n", i, i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	for i := range 1600 {
		fmt.Fprintf(&b, "[target engine-%04d]\nkind = engine\naddress = 10.%d.%d.%d:8000\nregion = region-%02d\ndomain = region-%02d-%d\nmodels = model-%02d, model-%02d\ncapacity = 16\n", i, i%15, i/200+1, i%200+1, i%15, i%15, i%2, i%24, (i+7)%24)
	}
	return b.Bytes()
}

// Guards against a table of the expected size that the bounds refuse.
func TestExpectedSize(t *testing.T) {
	text := largeTable()
	e := mustParse(t, text)
	t.Logf("%d bytes, %d teams, %d targets", len(text), len(e.Teams), len(e.Targets))
	changed := bytes.Replace(text, []byte("rate = 460"), []byte("rate = 470"), 1)
	changes, ok := Delta(text, changed)
	if !ok || len(changes) != 1 || len(changes[0].Body) > 100 {
		t.Errorf("an edit of one team is sent as %d changes", len(changes))
	}
}

func BenchmarkParse(b *testing.B) {
	text := largeTable()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDelta(b *testing.B) {
	text := largeTable()
	changed := bytes.Replace(text, []byte("rate = 460"), []byte("rate = 470"), 1)
	b.ReportAllocs()
	for b.Loop() {
		Delta(text, changed)
	}
}
