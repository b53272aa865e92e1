// Package contractfile reads HCL files of contracts and member capacities. Each error names its file, line and column.
package contractfile

import (
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/shopspring/decimal"

	"magpieglade/contracts"
	"magpieglade/internal/hclfile"
)

// File is the content of a contract file.
type File struct {
	Contracts []contracts.Terms
	Sizes     []contracts.MemberSize
	Floor     *float64 // nil if not set
}

// Read reads and parses a file.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(text, path)
}

// Parse parses the text of a file; path is used in errors.
func Parse(text []byte, path string) (*File, error) {
	body, err := hclfile.Parse(text, path)
	if err != nil {
		return nil, err
	}
	file := &hclfile.File{Labels: map[string]string{"contract": "name", "group": "number"}}
	parsed := new(File)
	content := file.Content(body, hcl.Range{Filename: path, Start: hcl.InitialPos, End: hcl.InitialPos}, "", "contract", "capacity")
	for _, b := range content.Blocks {
		if b.Type == "contract" {
			parsed.decodeContract(file, b)
		} else {
			parsed.decodeCapacity(file, b)
		}
	}
	return parsed, file.Err()
}

func (f *File) decodeContract(file *hclfile.File, block *hcl.Block) {
	content := file.Content(block.Body, block.DefRange, "tenant types groups reads writes in_flight fan_out fan_zones ramp cool aim promised beyond ceiling loss rank price credit", "window")
	terms := contracts.Terms{Name: block.Labels[0], RampDuration: int64(5 * time.Minute), CooldownDuration: int64(time.Minute), PromisedFraction: 0.99, ExcessPolicy: contracts.BestEffort, ToleratedLoss: contracts.MemberLoss}
	content.Require("tenant", "in_flight")
	content.Decode("tenant", &terms.Tenant)
	terms.Types = content.Strings("types")
	content.Decode("groups", &terms.Groups)
	content.Float("reads", &terms.Reads, 0, 1e9)
	content.Float("writes", &terms.Writes, 0, 1e9)
	content.Int("in_flight", &terms.InFlight, 1, 1_000_000)
	content.Int("fan_out", &terms.MinReplicas, 0, 1000)
	content.Int("fan_zones", &terms.MinZones, 0, 1000)
	content.Duration("ramp", &terms.RampDuration, 0)
	content.Duration("cool", &terms.CooldownDuration, 0)
	content.Duration("aim", &terms.TargetLatency, time.Millisecond)
	content.Float("promised", &terms.PromisedFraction, 0, 1)
	content.OneOf("beyond", &terms.ExcessPolicy, contracts.RejectExcess, contracts.BestEffort, contracts.PaidExcess)
	content.Float("ceiling", &terms.MaxExcessFactor, 1, 1e6)
	content.OneOf("loss", &terms.ToleratedLoss, contracts.NoLoss, contracts.MemberLoss, contracts.ZoneLoss)
	content.Int("rank", &terms.Priority, -1000, 1000)
	decodeAmount(content, "price", &terms.Price)
	decodeAmount(content, "credit", &terms.Credit)
	for _, windowBlock := range content.Blocks {
		windowContent := file.Content(windowBlock.Body, windowBlock.DefRange, "zone start length every until except")
		windowContent.Require("zone", "start", "length")
		window := contracts.Window{}
		windowContent.Decode("zone", &window.Zone)
		windowContent.Decode("start", &window.Start)
		windowContent.Duration("length", &window.Length, time.Minute)
		windowContent.OneOf("every", &window.Every, "day", "week")
		windowContent.Decode("until", &window.Until)
		window.Except = windowContent.Strings("except")
		if windowContent.Attrs["zone"] != nil && windowContent.Attrs["start"] != nil && windowContent.Attrs["length"] != nil && window.Length > 0 {
			if err := window.Check(); err != nil {
				file.AddError(windowBlock.DefRange, "the window can't be", err.Error()+".")
			}
		}
		terms.Windows = append(terms.Windows, window)
	}
	if file.Err() == nil {
		if err := terms.Check(); err != nil {
			file.AddError(block.DefRange, "invalid contract", err.Error()+".")
		}
	}
	f.Contracts = append(f.Contracts, terms)
}

func decodeAmount(content *hclfile.Content, name string, target *decimal.Decimal) {
	text := ""
	if !content.Decode(name, &text) {
		return
	}
	parsed, err := decimal.NewFromString(text)
	if err != nil {
		content.File.AddError(content.RangeOf(name), name+" is not an amount", `Write it as "120.50".`)
	}
	*target = parsed
}

func (f *File) decodeCapacity(file *hclfile.File, block *hcl.Block) {
	content := file.Content(block.Body, block.DefRange, "floor", "group")
	floor := 0.0
	if content.Decode("floor", &floor) {
		if floor < 0 || floor >= 1 {
			file.AddError(content.RangeOf("floor"), "floor is out of range", "It is a fraction from 0 to below 1.")
		}
		f.Floor = &floor
	}
	for _, groupBlock := range content.Blocks {
		groupContent := file.Content(groupBlock.Body, groupBlock.DefRange, "reads writes")
		groupContent.Require("reads", "writes")
		number, err := strconv.Atoi(strings.TrimSpace(groupBlock.Labels[0]))
		if err != nil || number < 0 {
			file.AddError(groupBlock.LabelRanges[0], "the label of a group must be a number", `As in group "0".`)
		}
		size := contracts.MemberSize{Group: number}
		groupContent.Float("reads", &size.Reads, 0, 1e9)
		groupContent.Float("writes", &size.Writes, 0, 1e9)
		f.Sizes = append(f.Sizes, size)
	}
}
