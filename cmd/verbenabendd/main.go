// Command verbenabendd is the daemon of an entry instance.
package main

import (
	"os"

	"github.com/verbenabend/verbenabend/internal/cli/daemoncli"
)

func main() { os.Exit(daemoncli.Main(os.Args[1:])) }
