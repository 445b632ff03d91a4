// Package report writes capacity answers: as text, as JSON, as charts (SVG), with the digests of the files they were computed
// from. It computes no figure of its own but means.
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

// Answer is all that was asked and answered. Its JSON form is answer.json.
type Answer struct {
	Inputs     []InputFile
	Captured   int           `json:"Commands"` // requests as captured, retries included
	Requests   int           `json:"Wants"`    // what clients asked for, retries folded
	Folded     int           // retries
	LostLines  uint64        `json:"Lost"` // lines that gateways could not write
	TornBlocks int           `json:"Torn"` // blocks of the capture that were damaged
	Span       time.Duration // of the capture
	Seed       int64
	Elapsed    time.Duration `json:"Took"` // to compute the answer
	Capacity   float64       // of all endpoints, cores
	Work       []float64     // asked for by second, core seconds
	Limits     []bounds.Limit
	Growth     *study.Growth   `json:",omitempty"`
	Servers    []study.Servers `json:",omitempty"`
	Losses     []*study.Loss   `json:",omitempty"`
}

// Write puts an answer into a folder, which it makes: answer.txt, answer.json, load.svg, growth.svg, and loss-N.svg for each loss,
// N from 1. Where one file fails it still writes the others that follow it, and returns all errors.
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
