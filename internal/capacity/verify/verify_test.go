package verify

import (
	"context"
	"fmt"
	"math"
	"os"
	"testing"

	"weirhaven/internal/gateway"
	"weirhaven/internal/scenario"
)

// The test binary also serves as the gateway program.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "edge" { // must never start the tests again, whatever arguments follow
		c := gateway.Command{Config: os.Args[len(os.Args)-1], Bound: true}
		if err := c.Execute(gateway.NewScheduler); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// A model learnt from 5 s on loopback must forecast the run at 1.5 times the load. All ten cases run in `weirhavenctl capacity verify`.
func TestForecastAgainstLoopback(t *testing.T) {
	self, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	d, err := scenario.Load("capacity")
	if err != nil {
		t.Fatal(err)
	}
	d.Length = "5s"
	o := scenario.Options{Seed: 3, Gateway: []string{self, "edge"}}
	l, err := Record(context.Background(), d, o)
	if err != nil {
		t.Fatal(err)
	}
	k := l.Model.Kind[0]
	if unit := k.Work[0].Base/2 + k.Work[0].Unit; math.Abs(unit/0.004-1) > 0.3 || k.Fit.Samples < 500 || l.Load.Lost > 0 {
		t.Errorf("learnt: %v", k)
	}
	for _, c := range Cases(d, l.Fleet) {
		if c.Name != "load x 1.5" {
			continue
		}
		r, err := Run(context.Background(), d, l, c, o)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%+v", r)
		if math.Abs(r.Deviation[0]) > 0.15 || math.Abs(r.Deviation[2]) > 0.25 || r.Measured.Utilization < 0.3 { // no check of P99, as it varies too much over 5 s
			t.Errorf("%+v", r)
		}
	}
}
