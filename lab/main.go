// Command lab holds stand-ins for what verbenabend serves and the tools that
// load and measure it. It is never shipped.
package main

import (
	"github.com/alecthomas/kong"

	"github.com/verbenabend/verbenabend/lab/measure"
)

func main() {
	var cli struct {
		Measure measure.Cmd `cmd:"" help:"Measure the decisions against engine models in virtual time."`
	}
	ctx := kong.Parse(&cli)
	ctx.FatalIfErrorf(ctx.Run())
}
