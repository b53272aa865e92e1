package rehearse

import (
	"embed"
	"fmt"
	"slices"
	"strings"
)

//go:embed scenarios/*.hcl
var builtinFiles embed.FS

// Default is the scenario that is played when none is named.
const DefaultName = "default"

// Names are those of the ready scenarios.
func BuiltinNames() (all []string) {
	files, err := builtinFiles.ReadDir("scenarios")
	if err != nil {
		panic(err) // it is in the program
	}
	for _, f := range files {
		all = append(all, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	slices.Sort(all)
	return all
}

// Text gives a ready scenario's file.
func BuiltinText(name string) ([]byte, error) {
	text, err := builtinFiles.ReadFile("scenarios/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("there is no ready scenario %q: it is one of %s", name, strings.Join(BuiltinNames(), ", "))
	}
	return text, nil
}

// Find gives a scenario by the name of a ready one, or by the path of a file.
func Find(name string) (*Scenario, error) {
	if strings.HasSuffix(name, ".hcl") {
		return Read(name)
	}
	text, err := BuiltinText(name)
	if err != nil {
		return nil, err
	}
	return Parse(text, name+".hcl")
}
