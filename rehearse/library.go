package rehearse

import (
	"embed"
	"fmt"
	"slices"
	"strings"
)

//go:embed scenarios/*.hcl
var builtinFiles embed.FS

// DefaultName is the built-in scenario that runs if none is named.
const DefaultName = "default"

// BuiltinNames returns the names of the built-in scenarios, sorted.
func BuiltinNames() (all []string) {
	files, err := builtinFiles.ReadDir("scenarios")
	if err != nil {
		panic(err) // can't fail: the directory is embedded
	}
	for _, f := range files {
		all = append(all, strings.TrimSuffix(f.Name(), ".hcl"))
	}
	slices.Sort(all)
	return all
}

// BuiltinText returns the file of a built-in scenario.
func BuiltinText(name string) ([]byte, error) {
	text, err := builtinFiles.ReadFile("scenarios/" + name + ".hcl")
	if err != nil {
		return nil, fmt.Errorf("there is no ready scenario %q: it is one of %s", name, strings.Join(BuiltinNames(), ", "))
	}
	return text, nil
}

// Find loads a scenario by built-in name, or by path if the name ends in .hcl.
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
