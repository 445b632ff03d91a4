package cli

import (
	"fmt"

	"weirhaven/internal/settings"
)

type configCheck struct {
	File string `arg:"" type:"existingfile" help:"Settings file of a gateway (weirhaven-gateway)."`
}

// Run prints a summary of the settings, or returns an error that names the file, line and field.
func (c *configCheck) Run() error {
	e, err := settings.LoadGateway(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: gateway %s, %d request classes, %d service plans, %d volumes, %d endpoints: all in range\n", c.File, e.Name, len(e.QueueType),
		len(e.Plan), len(e.Volume), len(e.Brick))
	return nil
}
