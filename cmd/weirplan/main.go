// Weirplan is the planner: it holds what edges should know of bricks, volumes and plans, and gives them views of it.
package main

import (
	"github.com/alecthomas/kong"

	"weirhaven/internal/edge"
	"weirhaven/internal/plan/serve"
)

func main() {
	var c serve.Command
	k := kong.Parse(&c, kong.Name("weirplan"), kong.Description("The planner of the storage gateway."))
	k.FatalIfErrorf(c.Execute(edge.Logger))
}
