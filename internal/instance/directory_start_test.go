package instance

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/wigeonhill/wigeonhill/platform"
)

// Guards against a directory that names instances of other regions to a caller because
// its instance has just started and has not heard of those in the caller's region yet.
func TestDirectoryOfNewInstanceKeepsCallersInTheirRegion(t *testing.T) {
	d := newTestDeployment(t)
	d.publishConfig(func(config map[string]any) {
		for _, r := range config["routes"].([]any) {
			r.(map[string]any)["home_regions"] = []string{"west"}
		}
	})
	seed, west := d.startInstance("a"), d.startInstance("b")
	eventually(t, "the instances know each other", func() bool { return len(seed.readyInstances()) == 2 })
	for n := range 3 {
		inst := d.startInstance("c")
		url := fmt.Sprintf("http://%s%s?region=west&zone=b&name=shop.example", inst.settings.Listen.Directory, platform.DirectoryPath)
		for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			resp, err := http.Get(url)
			if err != nil {
				continue
			}
			var got platform.DirectoryResponse
			err = json.NewDecoder(resp.Body).Decode(&got)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK && (err != nil || !slices.Equal(got.Addresses, []string{west.settings.Listen.Callers})) {
				t.Errorf("instance %d names %v to a caller of west, %v", n, got.Addresses, err)
				break
			}
		}
		inst.cancel()
	}
}
