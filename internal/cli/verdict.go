package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"weirhaven/internal/audit"
	"weirhaven/internal/record"
)

type auditRecord struct {
	Dir  string `arg:"" type:"existingdir" help:"Folder of the record."`
	JSON bool   `name:"json" help:"Print JSON instead of a table."`
}

// Run audits a record. It returns an error if a rule is broken.
func (c *auditRecord) Run() error {
	h, seen, err := record.Read(c.Dir)
	if err != nil {
		return err
	}
	v := audit.Judge(h, seen)
	if c.JSON {
		if err := json.NewEncoder(os.Stdout).Encode(v); err != nil {
			return err
		}
	} else {
		fmt.Printf("scenario %s, seed %d, %d lines\n\n", h.Drill, h.Seed, len(seen))
		printVerdicts(os.Stdout, []string{h.Arm}, []*audit.Verdict{v})
		printViolations(os.Stdout, v)
	}
	if !v.Kept() {
		return errors.New("a rule is broken")
	}
	return nil
}

// printVerdicts prints verdicts side by side, one column each.
func printVerdicts(out io.Writer, names []string, vs []*audit.Verdict) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	row := func(name string, f func(v *audit.Verdict) string) {
		fmt.Fprint(w, name, "\t")
		for _, v := range vs {
			fmt.Fprint(w, f(v), "\t")
		}
		fmt.Fprintln(w)
	}
	fmt.Fprint(w, "\t")
	for _, n := range names {
		fmt.Fprint(w, n, "\t")
	}
	fmt.Fprintln(w)
	count := func(name string, f func(s audit.Totals) int) {
		row(name, func(v *audit.Verdict) string { return fmt.Sprint(f(v.Totals)) })
	}
	count("requests received", func(s audit.Totals) int { return s.Received })
	count("served", func(s audit.Totals) int { return s.Served })
	count("rejected", func(s audit.Totals) int { return s.Rejected })
	count("failed", func(s audit.Totals) int { return s.Failed })
	count("late", func(s audit.Totals) int { return s.Late })
	count("unanswered: client or gateway lost", func(s audit.Totals) int { return s.Unanswered })
	count("not sent: no gateway", func(s audit.Totals) int { return s.NotReceived })
	count("attempts", func(s audit.Totals) int { return s.Attempts })
	count("retries", func(s audit.Totals) int { return s.Retries })
	row("service", func(v *audit.Verdict) string { return fmt.Sprintf("%.3f", v.Total().Share()) })
	for _, s := range vs[0].Service {
		row("  "+s.Plan+" "+s.Class, func(v *audit.Verdict) string {
			for _, x := range v.Service {
				if x.Plan == s.Plan && x.Class == s.Class {
					return fmt.Sprintf("%.3f", x.Share())
				}
			}
			return "-"
		})
	}
	for n := 1; n < len(audit.Rules); n++ {
		row(fmt.Sprintf("rule %d, %s", n, audit.Rules[n]), func(v *audit.Verdict) string {
			if v.Violations[n] == 0 {
				return "kept"
			}
			return fmt.Sprintf("BROKEN %d times", v.Violations[n])
		})
	}
	_ = w.Flush()
}

func printViolations(out io.Writer, v *audit.Verdict) {
	for _, b := range v.First {
		if b == nil {
			continue
		}
		fmt.Fprintf(out, "\nrule %d first broken at %v: %s\n", b.Rule, b.At.Round(time.Microsecond), b.Description)
		for _, l := range b.Trace {
			fmt.Fprintln(out, " ", l)
		}
	}
}
