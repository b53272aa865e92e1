package operator

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"magpieglade/routes"
)

// All errors of a file are reported at once, each with file, line, column and a remedy.
func Example_errors() {
	for _, text := range []string{
		"",
		"sessions {}",
		`clock_error = "3s"`,
		"clock_error = 3",
		`clock_error = "-1s"`,
		"sessions {",
		"sesions {}",
		"sessions {}\nsessions {}",
		"sessions {\n  source = \"cover\"\n}",
		"sessions {\n  span = \"1ms\"\n  most_marks = 0\n}",
		"sessions {\n  most_marks = 1.5\n}",
		"sessions {\n  tokens = \"signed\"\n}",
		"sessions {\n  peers {\n    gateways = [\"10.0.0.4:7946\", \"x\"]\n  }\n}",
		"sessions {\n  peers {\n    listen = \"10.0.0.6:1\"\n    gateways = [\"10.0.0.4:7946\", \"10.0.0.5:7946\"]\n  }\n}",
		"sessions {\n  peers {\n    positions = \"often\"\n  }\n}",
		"sessions {\n  peers {\n    positions = true\n  }\n}",
		"sessions {\n  peers {\n    listen = \"[::1]:1\"\n    messages_per_txn = -1\n  }\n}",
		"sessions {\n  peers {\n    key \"x\" { file = \"a\" }\n    key \"1\" {}\n    key \"2\" { variable = \"NO_SUCH\" }\n    key \"3\" { file = \"nowhere\" }\n  }\n}",
		"sessions {\n  ledger {\n    before_answer = \"often\"\n    at_most = \"0s\"\n  }\n}",
		"spread {\n  share = 0.25\n}",
		"coordination {\n  subset = 4\n}",
		"coordination {\n  subset = 1\n  turns = true\n  signals = false\n  away = 3\n}",
		"coordination {\n  connections = 10\n}",
		"sessions {\n  ledger { folder = \"/x\" }\n  ledger { folder = \"/x\" }\n}",
	} {
		_, err := Parse([]byte(text), "operator.hcl")
		if err != nil {
			fmt.Println(err)
		} else {
			fmt.Println("valid")
		}
	}
	// Output:
	// valid
	// valid
	// valid
	// operator.hcl:1:15: clock_error is no span of at least 0s: Write it as "20ms" or "10s".
	// operator.hcl:1:15: clock_error is no span of at least 0s: Write it as "20ms" or "10s".
	// operator.hcl:1:10: Unclosed configuration block: There is no closing brace for this block before the end of the file. This may be caused by incorrect brace nesting elsewhere in this file.
	// operator.hcl:1:1: Unsupported block type: Blocks of type "sesions" are not expected here. Did you mean "sessions"?
	// operator.hcl:2:1: a second block of sessions: Only one is allowed.
	// operator.hcl:2:12: source has the unknown value "cover": It is one of covered, fenced, own.
	// operator.hcl:2:10: span is no span of at least 1s: Write it as "20ms" or "10s".
	// operator.hcl:3:16: most_marks is out of range: It is from 1 to 10000000.
	// operator.hcl:2:16: Unsuitable value type: Unsuitable value: value must be a whole number, between -9223372036854775808 and 9223372036854775807
	// operator.hcl:2:12: signed tokens require a key: Add the block peers with a block key.
	// operator.hcl:3:16: "x" is not an IPv4 address with a port: Write it as 10.0.0.4:7946.
	// operator.hcl:4:16: the list does not contain 10.0.0.6:1, at which this gateway listens: List all gateways, including this one.
	// operator.hcl:2:3: no key is given: Gateways authenticate each other with a shared key: key "1" { file = "..." }.
	// operator.hcl:3:18: Unsuitable value type: Unsuitable value: a bool is required
	// operator.hcl:3:17: positions requires other gateways to report to: List them in gateways.
	// operator.hcl:3:14: listen is not an IPv4 address with a port: Write it as 10.0.0.4:7946.
	// operator.hcl:4:24: messages_per_txn is out of range: It is from 0 to 1000.
	// operator.hcl:3:9: the name of a key must be a number from 0 to 255: As in key "1".
	// operator.hcl:4:5: a key requires either file or variable: Set exactly one of them.
	// operator.hcl:5:26: the key is not a hexadecimal string of at least 16 bytes: Generate one with: openssl rand -hex 32.
	// operator.hcl:6:22: the key file cannot be read: open nowhere: no such file or directory
	// operator.hcl:2:3: folder is missing: Set a folder that persists across restarts.
	// operator.hcl:3:21: before_answer has the unknown value "often": It is one of none, process.
	// operator.hcl:4:15: at_most is no span of at least 1ms: Write it as "20ms" or "10s".
	// operator.hcl:1:1: spread is replaced by agreement: Remove the block spread and add a block agreement (docs/agreement.md): all gateways agree on what is applied at one.
	// operator.hcl:1:1: coordination requires agreement: Add a block agreement (docs/agreement.md): gateways that coordinate agree on their list.
	// operator.hcl:2:12: subset: from 2 to 1000 members of a group: Use at least two members of each group and more than away; 0 uses all of them.
	// operator.hcl:3:11: turns requires signals: Signals carry the messages of turns: signals = true.
	// operator.hcl:1:1: coordination requires agreement: Add a block agreement (docs/agreement.md): gateways that coordinate agree on their list.
	// operator.hcl:1:1: connections and away require subset: Set subset = 4.
	// operator.hcl:1:1: coordination requires agreement: Add a block agreement (docs/agreement.md): gateways that coordinate agree on their list.
	// operator.hcl:3:3: a second block of ledger: Only one is allowed.
}

// The annotated example in deploy/ is valid, and its values are the defaults.
func TestAnnotatedExample(t *testing.T) {
	f, err := Read("../../deploy/operator.hcl")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := Parse([]byte("sessions {}"), "x")
	if err != nil || f.Document != nil || fmt.Sprintf("%+v", *f.Sessions) != fmt.Sprintf("%+v", *defaults.Sessions) {
		t.Fatalf("%+v %+v %v", f.Sessions, defaults.Sessions, err)
	}
}

// Keys come from files, relative to the operator's file, or from environment variables.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	t.Setenv("SOME_KEY", strings.Repeat("cd", 16))
	if err := os.WriteFile(filepath.Join(dir, "k"), []byte(strings.Repeat("ab", 32)+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	text := `sessions {
  peers {
    listen = "10.0.0.4:1"
    gateways = ["10.0.0.4:1", "10.0.0.5:1"]
    key "7" { file = "k" }
    key "8" { variable = "SOME_KEY" }
  }
}`
	f, err := Parse([]byte(text), filepath.Join(dir, "operator.hcl"))
	if err != nil || len(f.Sessions.Keys) != 2 || f.Sessions.Keys[0].ID != 7 || len(f.Sessions.Keys[0].Secret) != 32 || len(f.Sessions.Keys[1].Secret) != 16 {
		t.Fatal(f, err)
	}
}

// FuzzParse checks that any text is parsed or rejected with a position.
func FuzzParse(f *testing.F) {
	text, _ := os.ReadFile("../../deploy/operator.hcl")
	f.Add(string(text))
	f.Add("sessions { peers { key \"1\" { variable = \"A\" } } }")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := Parse([]byte(text), "o"); err != nil && !strings.Contains(err.Error(), ":") {
			t.Fatal(err)
		}
	})
}

// FuzzDocument checks that compiling any document terminates, that each finding has a text and a remedy, and that a valid
// table handles any txn.
func FuzzDocument(f *testing.F) {
	text, _ := os.ReadFile("../../deploy/operator.hcl")
	f.Add(string(text), "portal", "10.1.2.3")
	f.Add(documentText, "portal", "10.1.2.3")
	f.Add("route \"a\" { networks = [\"0.0.0.0/0\", \"10.0.0.0/32\"] }\nroute \"b\" { users = [\"u\", \"u\"] }", "u", "::1")
	w := &routes.Environment{Zones: []string{"a"}, Types: []routes.Type{{Name: "session", HardLimit: 1e9, Effect: "repeatable", Need: "causal"}},
		Groups: map[int][]routes.Host{0: {{Name: "m1", Zone: "a"}, {Name: "m2", Zone: "a"}}}}
	f.Fuzz(func(t *testing.T, text, user, client string) {
		d, err := Document([]byte(text), "o")
		if err != nil || d == nil {
			return
		}
		table, findings := routes.Compile(d, w)
		for _, x := range findings {
			if x.Problem == "" || x.Remedy == "" {
				t.Fatalf("%+v", x)
			}
		}
		if table == nil {
			return
		}
		x := routes.Txn{User: user}
		x.Client, _ = netip.ParseAddr(client)
		a := table.Lookup(&x)
		if a.Route >= int32(len(d.Routes)) || a.Tenant >= int32(len(d.Tenants)) || !table.AllowsGroup(-1, 7) || table.ConnectionTenant(x) >= int32(len(d.Tenants)) {
			t.Fatalf("%+v", a)
		}
		why, _ := routes.NewShares(table, 0).CanBegin(a.Tenant, 1, 1)
		_ = why.String()
	})
}
