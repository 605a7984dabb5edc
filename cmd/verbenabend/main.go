// Command verbenabend is the operators' tool.
package main

import (
	"os"

	"github.com/verbenabend/verbenabend/internal/cli/operatorcli"
)

func main() { os.Exit(operatorcli.Main(os.Args[1:])) }
