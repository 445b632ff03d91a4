package soak

import (
	"context"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// quotaPeriod is the period in which a process may use its share of a core, as the kernel's bandwidth control has it.
	quotaPeriod = 100 * time.Millisecond
	// quotaPollInterval is the interval between two readings of the CPU time of a process.
	quotaPollInterval = 4 * time.Millisecond
)

// limitCPU keeps a process within its share of a core until ctx ends: once it has used its share of a period, it is suspended until
// the period ends.
func (p *process) limitCPU(ctx context.Context, cores float64) {
	quota := time.Duration(cores * float64(quotaPeriod))
	for ctx.Err() == nil {
		periodEnd := time.Now().Add(quotaPeriod)
		pid := p.pid()
		usedBefore := cpuTime(pid)
		for time.Now().Before(periodEnd) && ctx.Err() == nil {
			if cpuTime(pid)-usedBefore >= quota {
				p.suspendUntil(ctx, periodEnd)
			}
			wait(ctx, quotaPollInterval)
		}
	}
}

// suspendUntil suspends the process until a time or until ctx ends.
func (p *process) suspendUntil(ctx context.Context, end time.Time) {
	began := p.run.recorder.Now()
	p.signal(syscall.SIGSTOP)
	wait(ctx, time.Until(end))
	p.signal(syscall.SIGCONT)
	p.recordSuspension(began, p.run.recorder.Now())
}

// pid returns the process's number, 0 before its first start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// cpuTime returns the CPU time that all threads of a process have used; 0 if it has ended.
func cpuTime(pid int) (total time.Duration) {
	files, _ := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/task/*/schedstat") // the pattern is valid
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the thread has ended
		}
		used, _, _ := strings.Cut(string(text), " ")
		n, _ := strconv.ParseInt(used, 10, 64) // 0 for a file of another form
		total += time.Duration(n)
	}
	return total
}
