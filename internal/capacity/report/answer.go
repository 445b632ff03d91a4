// Package report writes capacity answers as text, JSON and SVG charts, with the digests of the input files. Apart from means it computes
// no figures.
package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"weirhaven/internal/capacity/bounds"
	"weirhaven/internal/capacity/study"
)

// Answer holds the answers to all questions of a run. Its JSON encoding is answer.json.
type Answer struct {
	Inputs     []InputFile
	Captured   int           `json:"Commands"` // captured requests, clients' retries included
	Requests   int           `json:"Wants"`    // client requests, retries folded
	Folded     int           // client retries folded into their requests
	LostLines  uint64        `json:"Lost"` // lines that gateways failed to write
	TornBlocks int           `json:"Torn"` // damaged blocks of the capture
	Span       time.Duration // of the capture
	Seed       int64
	Elapsed    time.Duration `json:"Took"` // to compute the answer
	Capacity   float64       // of all endpoints, cores
	Work       []float64     // by second, core seconds
	Limits     []bounds.Limit
	Growth     *study.Growth   `json:",omitempty"`
	Servers    []study.Servers `json:",omitempty"`
	Losses     []*study.Loss   `json:",omitempty"`
}

// Write creates a folder and writes the answer to it: answer.txt, answer.json, load.svg, growth.svg, and loss-N.svg for each loss, N
// from 1. If answer.txt can't be created, it writes no file. If another file fails, it still writes the rest and returns all errors.
func Write(dir string, a *Answer) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("answer: %w", err)
	}
	encoded, err := json.MarshalIndent(finite(a), "", " ")
	if err != nil {
		return err
	}
	text, err := os.Create(filepath.Join(dir, "answer.txt"))
	if err != nil {
		return err
	}
	Text(text, a)
	err = errors.Join(text.Close(), os.WriteFile(filepath.Join(dir, "answer.json"), encoded, 0o644), loadChart(dir, a))
	if a.Growth != nil {
		err = errors.Join(err, growthChart(dir, a.Growth))
	}
	for i, l := range a.Losses {
		err = errors.Join(err, lossChart(dir, i+1, l))
	}
	return err
}
