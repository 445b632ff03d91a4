package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// memorySampleInterval is the interval between two readings of the processes' memory.
const memorySampleInterval = 50 * time.Millisecond

// memorySample is one reading of a process's memory, in KiB.
type memorySample struct {
	private  int // without the pages of the program file
	resident int
}

// readMemory reads the memory of a process.
func readMemory(pid int) (m memorySample, err error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return m, err
	}
	for _, line := range strings.Split(string(text), "\n") {
		fields := strings.Fields(line)
		if len(fields) != 3 {
			continue
		}
		n, _ := strconv.Atoi(fields[1]) // 0 for a line that is no size
		switch fields[0] {
		case "RssAnon:", "RssShmem:":
			m.private += n
		case "VmRSS:":
			m.resident = n
		}
	}
	return m, nil
}

// watchMemory reads the memory of each process until ctx ends. It reports a process whose private memory exceeds the deployment's
// limit, once for each incarnation.
func (r *run) watchMemory(ctx context.Context) {
	reported := map[string]bool{}
	for ; ctx.Err() == nil; wait(ctx, memorySampleInterval) {
		for _, p := range r.processes {
			r.checkMemory(p, reported)
		}
	}
}

func (r *run) checkMemory(p *process, reported map[string]bool) {
	memory, err := readMemory(p.pid())
	if err != nil { // the process has ended
		return
	}
	p.peakMemory.Store(max(p.peakMemory.Load(), int64(memory.private)))
	incarnation := fmt.Sprint(p.number, "/", p.incarnation.Load())
	if memory.private <= r.deployment.MemoryMB<<10 || reported[incarnation] {
		return
	}
	reported[incarnation] = true
	r.report(Violation{Rule: "memory limit", Process: p.name(), At: r.recorder.Now(), Log: p.path(".log"),
		Detail: fmt.Sprintf("%d KiB of its own, %d KiB resident; the limit is %d KiB", memory.private, memory.resident, r.deployment.MemoryMB<<10)})
}

// peakMemory returns the highest private memory of any process, in KiB.
func (r *run) peakMemory() (peak int) {
	for _, p := range r.processes {
		peak = max(peak, int(p.peakMemory.Load()))
	}
	return peak
}
