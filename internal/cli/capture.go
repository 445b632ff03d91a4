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
	Start captureStart `cmd:"" help:"Start recording the load of a gateway."`
	Stop  captureStop  `cmd:"" help:"Stop recording; returns when the recorded load is on disk."`
	Info  captureInfo  `cmd:"" help:"Show the state of a gateway's recording, or summarize captures on disk."`
	Cut   captureCut   `cmd:"" help:"Write an interval of captures to a new file."`
	Merge captureMerge `cmd:"" help:"Merge captures of several gateways, with their clocks aligned."`
}

type captureStart struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run starts the recording of a gateway's load.
func (c *captureStart) Run() error { return controlCapture(c.Gateway, "start") }

type captureStop struct {
	Gateway string `required:"" aliases:"edge" help:"Address where clients reach the gateway." placeholder:"ADDR"`
}

// Run stops the recording of a gateway's load. The recorded load is on disk when it returns.
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

// Run prints the state of a gateway's recording, or a summary of captures on disk.
func (c *captureInfo) Run() error {
	if c.Gateway != "" {
		return controlCapture(c.Gateway, "info")
	}
	if len(c.Paths) == 0 {
		return fmt.Errorf("either --gateway or the path of a capture is required")
	}
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	printCaptureSummary(l)
	return nil
}

func printCaptureSummary(l *capture.Load) {
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
	From  time.Duration `help:"Start of the interval, as time since the first request."`
	To    time.Duration `help:"End of the interval, as time since the first request." default:"8760h"`
	Out   string        `required:"" help:"File to write." placeholder:"FILE"`
}

// Run writes an interval of captures to one file.
func (c *captureCut) Run() error {
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	return writeCapture(l.Cut(c.From, c.To), c.Out)
}

type captureMerge struct {
	Paths []string `arg:"" help:"Folders or files (*.wcap)."`
	Out   string   `required:"" help:"File to write." placeholder:"FILE"`
}

// Run aligns the clocks of several gateways' captures and writes the captures to one file.
func (c *captureMerge) Run() error {
	l, err := capture.Read(c.Paths...)
	if err != nil {
		return err
	}
	if err := l.Align(); err != nil {
		fmt.Fprintln(os.Stderr, "weirhavenctl:", err, "; keeping the recorded times without clock alignment")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tCLOCK OFFSET\tUNCERTAINTY\tSHARED STARTS")
	for _, o := range l.Offsets {
		fmt.Fprintf(w, "%s\t%v\t%v\t%d\n", o.Gateway, o.Add, o.Spread, o.Marks)
	}
	_ = w.Flush()
	return writeCapture(l, c.Out)
}

func writeCapture(l *capture.Load, file string) error {
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
