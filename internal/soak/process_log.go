package soak

import (
	"bufio"
	"os"
	"regexp"
	"strconv"
	"strings"
)

// stateLinePattern matches a state line and captures its heap size in bytes and its number of goroutines.
var stateLinePattern = regexp.MustCompile(`msg=state .*heap=(\d+) .*goroutines=(\d+)`)

// parseDigits returns the number in text, or 0 if it is none.
func parseDigits(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// scanLog searches the process's log for broken invariants, panics, fatal errors and state that exceeds its bounds.
func (p *process) scanLog() (violations []Violation) {
	logFile, err := os.Open(p.path(".log"))
	if err != nil {
		return nil
	}
	defer func() { _ = logFile.Close() }()
	limits := p.run.deployment
	lines := bufio.NewScanner(logFile)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		text := lines.Text()
		if found := stateLinePattern.FindStringSubmatch(text); found != nil && (parseDigits(found[1]) > limits.MemoryMB<<20/2 || parseDigits(found[2]) > limits.maxGoroutines()) {
			violations = append(violations, Violation{Rule: "bounded state", Process: p.name(), Detail: text, Log: p.path(".log")})
		}
		if strings.Contains(text, "invariant broken") || strings.Contains(text, "panic") || strings.Contains(text, "fatal error") {
			violations = append(violations, Violation{Rule: "own check", Process: p.name(), Detail: text, Log: p.path(".log")})
		}
	}
	return violations
}
