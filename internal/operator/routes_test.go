package operator

import (
	"fmt"
	"time"
)

const documentText = `
in_flight = 100
watch     = "10s"
exclude   = ["m1"]
tenant "portal" {
  weight = 2
  rate   = 50
}
route "reports" {
  types    = ["session"]
  users    = ["portal"]
  networks = ["10.0.0.0/8"]
  tenant   = "portal"
  expiry   = "500ms"
  retries  = 0.1
  aim      = "200ms"
  zones    = ["a"]
  groups   = [0, 1]
}
`

// Document ignores the rest of the file: keys and folders may belong to another gateway.
func Example_documentAlone() {
	text := "sessions {\n  peers {\n    key \"1\" { file = \"nowhere\" }\n  }\n}\n" + documentText
	_, err := Parse([]byte(text), "r.hcl")
	fmt.Println(err != nil)
	d, err := Document([]byte(text), "stored change")
	fmt.Println(d != nil, err)
	_, err = Document([]byte("route {}"), "stored change")
	fmt.Println(err)
	// Output:
	// true
	// true <nil>
	// stored change:1:7: Missing name for route: All route blocks must have 1 labels (name).
}

// Decodes the settings that can change while a gateway runs, and reports errors in them.
func Example_routes() {
	f, err := Parse([]byte(documentText), "r.hcl")
	d := f.Document
	fmt.Println(err, f.WatchDuration == 10*time.Second, d.MaxInFlight, d.Excluded, d.Tenants[0].Burst)
	fmt.Println(d.Routes[0].At, d.Routes[0].Networks, d.Routes[0].RetryRatio, d.Routes[0].Expiry == int64(500*time.Millisecond),
		d.Routes[0].TargetLatency == int64(200*time.Millisecond), d.Routes[0].Zones, d.Routes[0].Groups)
	same, _ := Parse([]byte(documentText), "other.hcl")
	fmt.Println(same.Digest == f.Digest)
	for _, text := range []string{"route {}", "route \"a\" \"b\" {}", "route \"a\" {\n  networks = [\"x\"]\n}", "route \"a\" {\n  retries = -1\n}",
		"tenant \"t\" {\n  weight = \"much\"\n}", "in_flight = 0", "exclude = \"m\"",
		"log = \"loud\"", "tenant \"t\" {\n  connections = 0\n}", "route \"a\" {\n  groups = [\"x\"]\n  aim = \"0s\"\n}"} {
		_, err := Parse([]byte(text), "r.hcl")
		fmt.Println(err)
	}
	// Output:
	// <nil> true 100 [{m1 r.hcl:4:13}] 5
	// r.hcl:9:1 [10.0.0.0/8] 0.1 true true [a] [0 1]
	// true
	// r.hcl:1:7: Missing name for route: All route blocks must have 1 labels (name).
	// r.hcl:1:11: Extraneous label for route: Only 1 labels (name) are expected for route blocks.
	// r.hcl:2:14: "x" is not an IPv4 network: Write it as 10.0.0.0/8.
	// r.hcl:2:13: retries is out of range: It is from 0 to 10.
	// r.hcl:2:13: Unsuitable value type: Unsuitable value: a number is required
	// r.hcl:1:13: in_flight is out of range: It is from 1 to 1000000.
	// r.hcl:1:12: Unsuitable value type: Unsuitable value: list of string required, but have string
	// r.hcl:1:7: log has the unknown value "loud": It is one of info, warn, error.
	// r.hcl:2:17: connections is out of range: It is from 1 to 1000000.
	// r.hcl:3:9: aim is no span of at least 1ms: Write it as "20ms" or "10s".
	// r.hcl:2:12: Unsuitable value type: Unsuitable value: a number is required
}
