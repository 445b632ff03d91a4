package cli

import (
	"fmt"
	"os"
	"strings"
	"time"

	"weirhaven/internal/pb"
	"weirhaven/internal/scenario"
	"weirhaven/internal/settings"
)

type scenarioImport struct {
	Day       string        `arg:"" type:"existingfile" help:"Day file of the simulator (JSON)."`
	Output    string        `short:"o" help:"File to write the scenario to; without it, standard output." placeholder:"FILE"`
	Gateways  int           `default:"6" aliases:"hosts" help:"Largest number of gateways in the scenario."`
	Endpoints int           `default:"12" aliases:"bricks" help:"Largest number of endpoints in the scenario."`
	Length    time.Duration `default:"20s" help:"Longest duration of the scenario."`
}

// Run converts a day file of the simulator to a scenario.
func (c *scenarioImport) Run() error {
	d, notes, err := scenario.Import(c.Day, scenario.Scale{Gateways: max(c.Gateways, 1), Endpoints: max(c.Endpoints, 1), Length: c.Length})
	if err != nil {
		return err
	}
	text, err := settings.Text(d)
	if err != nil {
		return err
	}
	text = append([]byte("# Imported from a day file of the simulator. Changed or not carried over:\n# - "+strings.Join(notes, "\n# - ")+"\n"), text...)
	if err := settings.Parse(d.Name, text, &pb.Drill{}); err != nil {
		return fmt.Errorf("imported scenario is invalid: %w", err)
	}
	if c.Output == "" {
		_, err = os.Stdout.Write(text)
		return err
	}
	if err := os.WriteFile(c.Output, text, 0o644); err != nil {
		return err
	}
	for _, n := range notes {
		fmt.Println("changed or not carried over:", n)
	}
	return nil
}
