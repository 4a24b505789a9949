package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/wigeonhill/wigeonhill/internal/standin"
)

// clockTick is the unit of CPU times in /proc on Linux (1/USER_HZ).
const clockTick = 10 * time.Millisecond

// Usage holds the resource usage of a process.
type Usage struct {
	CPU time.Duration // user and system time since the process started
	RSS int64         // current resident set size in bytes
	// AnonRSS is the anonymous part of RSS in bytes, which excludes the mapped
	// program file.
	AnonRSS int64
	// Read and Written count the bytes of read and write system calls since the
	// process started. They include TCP sockets and log files, but not UDP
	// datagrams.
	Read, Written int64
}

// Usage reads the usage of a running process from /proc.
func (p *Proc) Usage() (Usage, error) {
	var u Usage
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The command name in parentheses may contain spaces.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	for _, i := range []int{11, 12} { // utime, stime
		n, _ := strconv.ParseInt(fields[i], 10, 64)
		u.CPU += time.Duration(n) * clockTick
	}
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	u.RSS = pages * int64(os.Getpagesize())
	status, err := os.ReadFile(dir + "status")
	if err != nil {
		return u, err
	}
	if _, rest, ok := strings.Cut(string(status), "RssAnon:"); ok {
		_, _ = fmt.Sscan(rest, &u.AnonRSS)
		u.AnonRSS <<= 10 // given in KiB
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, err
	}
	_, err = fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &u.Read, &u.Written)
	return u, err
}

// PeakRSS returns the largest resident set size in bytes that a process had since it
// started, or since ResetPeakRSS.
func PeakRSS(pid int) (int64, error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(status), "VmHWM:")
	if !ok {
		return 0, fmt.Errorf("process %d has exited", pid)
	}
	var kib int64
	_, err = fmt.Sscan(rest, &kib)
	return kib << 10, err
}

// ResetPeakRSS makes PeakRSS start anew from the current resident set size.
func ResetPeakRSS(pid int) error {
	return os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0o200)
}

// ConfigServiceCalls returns the number of calls that the configuration service
// has received.
func (f *Fleet) ConfigServiceCalls(ctx context.Context) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.ConfigService.Address+"/record", nil)
	if err != nil {
		return 0, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	rec := standin.Record{}
	if err := json.NewDecoder(resp.Body).Decode(&rec); err != nil {
		return 0, err
	}
	n := 0
	for _, calls := range rec.Calls {
		n += calls
	}
	return n, nil
}
