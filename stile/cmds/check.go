package cmds

import (
	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
	"dandelionstile/share/topo"
)

func init() { register(func() command { return &check{} }, "check", "validate") }

// check validates an inventory with its rules and routes and lists all faults and dangers.
type check struct {
	outputFlags
	Manifest uint64   `arg:"--manifest" placeholder:"VERSION" help:"print the manifest to publish as this version"`
	Files    []string `arg:"positional,required" placeholder:"FILE" help:"files, or directories of YAML files"`
}

type faultResult struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Key     string `json:"key"`
	Problem string `json:"problem"`
	Hint    string `json:"hint"`
}

type checkResult struct {
	Valid    bool          `json:"valid"`
	Faults   []faultResult `json:"faults"`
	Dangers  []string      `json:"dangers"`
	Services int           `json:"services"`
	Servers  int           `json:"servers"`
	Leaves   int           `json:"leafs"`
	Routes   int           `json:"routes"`
}

// Help describes the command.
func (*check) Help() string { return "check an inventory and rules; list every fault and danger" }

// Run prints the faults. If there are none, it prints the manifest if one is requested, or
// else the dangers and totals. Dangers do not change the exit code.
func (c *check) Run(out *printer) error {
	parts, err := readParts(c.Files)
	if err != nil {
		return err
	}
	cfg, err := topo.Parse(unpublishedVersion, parts)
	var faults conf.Faults
	if err != nil && !errors.As(err, &faults) {
		return err
	}
	if err != nil {
		return c.printFaults(out, faults)
	}
	if c.Manifest > 0 {
		for i := range parts {
			parts[i] = withBaseName(parts[i])
		}
		out.printText("%s", topo.NewManifest(c.Manifest, parts).Encode())
		return nil
	}
	result := checkResult{Valid: true, Faults: []faultResult{}, Dangers: findDangers(cfg)}
	result.Services, result.Servers, result.Routes = len(cfg.Inventory.Services), len(cfg.Inventory.Servers), len(cfg.Routes)
	for _, s := range cfg.Inventory.Servers {
		result.Leaves += len(s.Leaves)
	}
	for _, d := range result.Dangers {
		out.printText("%s %s", out.colorize(yellow, "danger:"), d)
	}
	out.printText("%s %d services, %d backend servers, %d leafs, %d routes",
		out.colorize(green, "valid:"), result.Services, result.Servers, result.Leaves, result.Routes)
	return out.printJSON(result)
}

// printFaults prints the faults and returns ErrFaulty.
func (*check) printFaults(out *printer, faults conf.Faults) error {
	result := checkResult{Faults: []faultResult{}, Dangers: []string{}}
	for _, f := range faults {
		out.printText("%s %s", out.colorize(red, "fault:"), f)
		result.Faults = append(result.Faults, faultResult(f))
	}
	if err := out.printJSON(result); err != nil {
		return err
	}
	return ErrFaulty
}
