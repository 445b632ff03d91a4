package cli

import (
	"bufio"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"weirhaven/internal/capture"
	"weirhaven/internal/lineproto"
	"weirhaven/internal/pb"
)

type captureCmd struct {
	Start captureStart `cmd:"" help:"Let a gateway record its load."`
	Stop  captureStop  `cmd:"" help:"Let it stop; what it recorded is on disk then."`
	Info  captureInfo  `cmd:"" help:"What a gateway records now, or what is in captures on disk."`
	Cut   captureCut   `cmd:"" help:"Keep an interval of a capture."`
	Merge captureMerge `cmd:"" help:"Put captures of several gateways together, by aligned clocks."`
}

type captureStart struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run lets a gateway begin to record its load.
func (c *captureStart) Run() error { return controlCapture(c.Gateway, "start") }

type captureStop struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run lets a gateway end its recording; what it recorded is on disk then.
func (c *captureStop) Run() error { return controlCapture(c.Gateway, "stop") }

func controlCapture(gateway, action string) error {
	b, err := callGateway(gateway, lineproto.VerbControlCapture, "Action", action)
	if err == nil {
		fmt.Print(string(b))
	}
	return err
}

type captureInfo struct {
	Gateway string   `aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR" xor:"from"`
	Paths   []string `arg:"" optional:"" help:"Folders or files (*.wcap)."`
}

// Run describes what a gateway records, or captures on disk.
func (c *captureInfo) Run() error {
	if c.Gateway != "" {
		return controlCapture(c.Gateway, "info")
	}
	if len(c.Paths) == 0 {
		return fmt.Errorf("name a gateway with --gateway, or captures on disk")
	}
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	describe(l)
	return nil
}

func describe(l *capture.Load) {
	requests, attempts, results := 0, 0, map[pb.CapturedCommand_Final]int{}
	volumes, endpoints, gateways := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, x := range l.Records {
		if m := x.GetCommand(); m != nil {
			requests++
			attempts += len(m.Dispatch)
			results[m.Final]++
			volumes[m.Volume], gateways[m.Host] = true, true
		} else if b := x.GetBrick(); b != nil {
			endpoints[b.Name] = true
		}
	}
	from, to := l.Span()
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "files\t%d\n", l.Files)
	fmt.Fprintf(w, "from\t%s\n", time.Unix(0, int64(from)).UTC().Format(time.RFC3339Nano))
	fmt.Fprintf(w, "span\t%v\n", (to - from).Round(time.Millisecond))
	fmt.Fprintf(w, "requests\t%d by %d gateways, of %d volumes\n", requests, len(gateways), len(volumes))
	fmt.Fprintf(w, "results\t%d served, %d rejected, %d failed, %d clients disconnected\n", results[0], results[1], results[2], results[3])
	fmt.Fprintf(w, "attempts\t%d to %d endpoints\n", attempts, len(endpoints))
	fmt.Fprintf(w, "lost records\t%d\n", l.Lost)
	fmt.Fprintf(w, "torn\t%d blocks, %d bytes\n", l.Torn.Blocks, l.Torn.Bytes)
	_ = w.Flush()
}

type captureCut struct {
	Paths []string      `arg:"" help:"Folders or files (*.wcap)."`
	From  time.Duration `help:"Counted from the first request."`
	To    time.Duration `help:"Counted from the first request." default:"8760h"`
	Out   string        `required:"" help:"File to write." placeholder:"FILE"`
}

// Run writes an interval of captures to one file.
func (c *captureCut) Run() error {
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	return write(l.Cut(c.From, c.To), c.Out)
}

type captureMerge struct {
	Paths []string `arg:"" help:"Folders or files (*.wcap)."`
	Out   string   `required:"" help:"File to write." placeholder:"FILE"`
}

// Run writes captures of several gateways to one file, by aligned clocks.
func (c *captureMerge) Run() error {
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	if err := l.Align(); err != nil {
		fmt.Fprintln(os.Stderr, "weirhavenctl:", err, "; their times stand as they are")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tCLOCK OFFSET\tUNCERTAINTY\tSHARED STARTS")
	for _, o := range l.Offsets {
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\n", o.Gateway, o.Add, o.Spread, o.Marks)
	}
	_ = w.Flush()
	return write(l, c.Out)
}

func write(l *capture.Load, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	out := bufio.NewWriter(f)
	if err := l.Write(out); err != nil {
		_ = f.Close()
		return err
	}
	if err := out.Flush(); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
