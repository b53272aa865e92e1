package cli

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"magpieglade": func() { os.Exit(Run(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

func TestCommands(t *testing.T) { testscript.Run(t, testscript.Params{Dir: "testdata"}) }
