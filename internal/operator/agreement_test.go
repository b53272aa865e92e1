package operator

import "fmt"

// Errors in the block agreement are reported with their position and a remedy.
func Example_agreementErrors() {
	for _, text := range []string{
		"agreement {}",
		"agreement {\n  listen = \"here\"\n  folder = \"x\"\n  lease = \"1ms\"\n  without_agreement = \"wait\"\n  key \"1\" { variable = \"NO_SUCH\" }\n}",
		"changes = \"/x\"\nspread {}\nagreement {\n  listen = \"10.0.0.4:1\"\n  ask = [\"10.0.0.5:1\", \"y\"]\n}\nagreement {}",
		"tenant \"a\" {\n  without_agreement = \"perhaps\"\n}",
	} {
		_, err := Parse([]byte(text), "operator.hcl")
		fmt.Println(err)
	}
	// Output:
	// operator.hcl:1:1: listen is missing: Set the address at which the other gateways reach this one: listen = "10.0.0.4:7946".
	// operator.hcl:1:1: neither folder, which voting requires, nor ask is set: Set folder = "/var/lib/magpieglade/agreement", or ask = ["10.0.0.4:7946"].
	// operator.hcl:1:1: no key is given: Gateways authenticate each other with a shared key: key "1" { file = "..." }.
	// operator.hcl:2:12: listen is not an IPv4 address with a port: Write it as 10.0.0.4:7946.
	// operator.hcl:4:11: lease is no span of at least 100ms: Write it as "20ms" or "10s".
	// operator.hcl:5:23: without_agreement has the unknown value "wait": It is one of decline, serve.
	// operator.hcl:6:24: the key is not a hexadecimal string of at least 16 bytes: Generate one with: openssl rand -hex 32.
	// operator.hcl:2:1: spread is replaced by agreement: Remove the block spread and add a block agreement (docs/agreement.md): all gateways agree on what is applied at one.
	// operator.hcl:5:9: "y" is not an IPv4 address with a port: Write it as 10.0.0.4:7946.
	// operator.hcl:3:1: no key is given: Gateways authenticate each other with a shared key: key "1" { file = "..." }.
	// operator.hcl:7:1: a second block of agreement: Only one is allowed.
	// operator.hcl:1:11: changes cannot be combined with agreement: Remove changes: the log of the voters stores them.
	// operator.hcl:2:23: without_agreement has the unknown value "perhaps": It is one of decline, serve.
}
