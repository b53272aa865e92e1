package contractfile

import "fmt"

// Each error names its file, line and column, and how to fix it.
func Example_mistakes() {
	for _, text := range []string{
		"contract \"final\" {\n  tenant = \"tv\"\n  reads = 100\n  in_flight = 10\n  price = \"120.50\"\n  window {\n    zone = \"Europe/Paris\"\n    start = \"2026-06-14 20:00\"\n    length = \"3h\"\n  }\n}\ncapacity {\n  floor = 0.1\n  group \"0\" {\n    reads = 100\n    writes = 40\n  }\n}",
		"contract \"final\" {}",
		"contract \"final\" {\n  tenant = \"tv\"\n  reads = -1\n  in_flight = 10\n  price = \"much\"\n  loss = \"two\"\n  window {\n    zone = \"Paris\"\n    start = \"2026-06-14 20:00\"\n    length = \"3h\"\n  }\n}",
		"contract \"final\" {\n  tenant = \"tv\"\n  in_flight = 10\n  window {\n    zone = \"Europe/Paris\"\n    start = \"2026-03-29 02:30\"\n    length = \"3h\"\n  }\n}",
		"contract \"final\" {\n  tenant = \"tv\"\n  in_flight = 10\n}",
		"capacity {\n  floor = 1\n  group \"x\" {\n    reads = 1\n  }\n}",
	} {
		f, err := Parse([]byte(text), "peak.hcl")
		if err != nil {
			fmt.Println(err)
		} else {
			fmt.Println("good:", f.Contracts[0].Name, f.Contracts[0].Price, *f.Floor, f.Sizes)
		}
	}
	// Output:
	// good: final 120.5 0.1 [{0 100 40}]
	// peak.hcl:1:1: tenant is lacking: Say it.
	// peak.hcl:1:1: in_flight is lacking: Say it.
	// peak.hcl:3:11: reads is out of range: It is from 0 to 1e+09.
	// peak.hcl:6:10: loss has the unknown value "two": It is one of none, member, zone.
	// peak.hcl:5:11: price is not an amount: Write it as "120.50".
	// peak.hcl:7:3: the window can't be: "Paris" is no time zone; write it as Europe/Paris.
	// peak.hcl:4:3: the window can't be: there is no 2026-03-29 02:30 in Europe/Paris: clocks are put forward over it.
	// peak.hcl:1:1: invalid contract: contract "final": it is for reads or writes a second, or both.
	// peak.hcl:2:11: floor is out of range: It is a fraction from 0 to below 1.
	// peak.hcl:3:3: writes is lacking: Say it.
	// peak.hcl:3:9: the label of a group must be a number: As in group "0".
}
