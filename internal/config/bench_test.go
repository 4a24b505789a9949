package config

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"runtime"
	"testing"
)

// largeConfigText returns a configuration of the size expected within two years.
func largeConfigText() []byte { return generateText(15, 2400, 24, 1600) }

// generateText returns a configuration in which each team has one key.
func generateText(regions, teams, models, targets int) []byte {
	var b bytes.Buffer
	for i := range regions {
		fmt.Fprintf(&b, "[region region-%02d]\nseats = 10.%d.0.1:7200, 10.%d.0.2:7200, 10.%d.0.3:7200, 10.%d.0.4:7200, 10.%d.0.5:7200\n", i, i, i, i, i, i)
	}
	for i := range models {
		fmt.Fprintf(&b, "[model model-%02d]\nmax_output = 4096\n", i)
	}
	for i := range regions {
		fmt.Fprintf(&b, "[residency rule-%02d]\nregions = region-%02d\n", i, i)
	}
	for i := range teams {
		fmt.Fprintf(&b, "[team team-%04d]\nweight = 2\nrate = 460\nburst = 20000\n", i)
		if i%4 == 0 {
			fmt.Fprintf(&b, "residency = rule-%02d\n", i%regions)
		}
		fmt.Fprintf(&b, "[key team-%04d-1]\nteam = team-%04d\nsha256 = %x\n", i, i, sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	for i := range targets {
		fmt.Fprintf(&b, "[target engine-%04d]\nkind = engine\naddress = 10.%d.%d.%d:8000\nregion = region-%02d\ndomain = region-%02d-%d\nmodels = model-%02d, model-%02d\ncapacity = 16\n", i, i%regions, i/200+1, i%200+1, i%regions, i%regions, i%2, i%models, (i+1)%models)
	}
	return b.Bytes()
}

// Guards against limits that reject a configuration of the expected size, and
// against a delta that grows with the configuration instead of with the edit.
func TestExpectedSize(t *testing.T) {
	text := largeConfigText()
	cfg := mustParse(t, text)
	t.Logf("%d bytes, %d teams, %d targets", len(text), len(cfg.Teams), len(cfg.Targets))
	changed := bytes.Replace(text, []byte("rate = 460"), []byte("rate = 470"), 1)
	changes, ok := Delta(text, changed)
	if !ok || len(changes) != 1 || len(changes[0].Body) > 100 {
		t.Errorf("an edit of one team is sent as %d changes", len(changes))
	}
}

func BenchmarkParse(b *testing.B) {
	text := largeConfigText()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkConfigSize measures a configuration at three sizes: the length of its
// text, the live heap after parsing, and the time to parse it.
func BenchmarkConfigSize(b *testing.B) {
	for _, size := range []struct{ regions, teams, models, targets int }{{3, 5, 2, 15}, {6, 240, 8, 160}, {15, 2400, 24, 1600}} {
		b.Run(fmt.Sprintf("teams=%d", size.teams), func(b *testing.B) {
			text := generateText(size.regions, size.teams, size.models, size.targets)
			const copies = 4
			kept := make([]*Config, copies)
			before := liveHeap()
			for i := range kept {
				cfg, err := Parse(text)
				if err != nil {
					b.Fatal(err)
				}
				kept[i] = cfg
			}
			live := liveHeap() - before
			runtime.KeepAlive(kept)
			for b.Loop() {
				if _, err := Parse(text); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(text)), "text-bytes")
			b.ReportMetric(float64(live)/copies, "live-bytes")
		})
	}
}

func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func BenchmarkDelta(b *testing.B) {
	text := largeConfigText()
	changed := bytes.Replace(text, []byte("rate = 460"), []byte("rate = 470"), 1)
	b.ReportAllocs()
	for b.Loop() {
		Delta(text, changed)
	}
}
