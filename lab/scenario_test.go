package main

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/verbenabend/verbenabend/internal/cli/daemoncli"
	"github.com/verbenabend/verbenabend/internal/cli/operatorcli"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"verbenabend":  func() { os.Exit(operatorcli.Main(os.Args[1:])) },
		"verbenabendd": func() { os.Exit(daemoncli.Main(os.Args[1:])) },
		"lab":          func() { os.Exit(run(os.Args[1:])) },
	})
}

// TestScenarios runs each testscript in scenarios/ against separate processes on
// loopback. cluster_test.go documents the commands.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "../scenarios",
		RequireExplicitExec: true,
		Setup:               setupCluster,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"system":  cmdSystem,
			"start":   cmdStart,
			"drain":   cmdDrain,
			"crash":   cmdCrash,
			"freeze":  cmdFreeze,
			"thaw":    cmdThaw,
			"ready":   cmdReady,
			"control": cmdControl,
			"await":   cmdAwait,
			"call":    cmdCall,
			"asks":    cmdAsks,
			"exits":   cmdExits,
		},
	})
}
