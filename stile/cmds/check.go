package cmds

import (
	"github.com/cockroachdb/errors"

	"dandelionstile/share/conf"
	"dandelionstile/share/topo"
)

func init() { register(func() command { return &check{} }, "check", "validate") }

// check validates an inventory with its rules and lists all faults and dangers.
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

// Run prints the faults, the dangers or the manifest.
func (c *check) Run(out *printer) error {
	parts, err := readParts(c.Files)
	if err != nil {
		return err
	}
	cfg, err := topo.Parse(1, parts)
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
		out.line("%s", topo.NewManifest(c.Manifest, parts).Encode())
		return nil
	}
	s := checkResult{Valid: true, Faults: []faultResult{}, Dangers: dangers(cfg)}
	s.Services, s.Servers, s.Routes = len(cfg.Inventory.Services), len(cfg.Inventory.Servers), len(cfg.Routes)
	for _, v := range cfg.Inventory.Servers {
		s.Leaves += len(v.Leaves)
	}
	for _, d := range s.Dangers {
		out.line("%s %s", out.colorize(yellow, "danger:"), d)
	}
	out.line("%s %d services, %d backend servers, %d leafs, %d routes",
		out.colorize(green, "valid:"), s.Services, s.Servers, s.Leaves, s.Routes)
	return out.value(s)
}

func (*check) printFaults(out *printer, faults conf.Faults) error {
	s := checkResult{Faults: []faultResult{}, Dangers: []string{}}
	for _, f := range faults {
		out.line("%s %s", out.colorize(red, "fault:"), f)
		s.Faults = append(s.Faults, faultResult(f))
	}
	if err := out.value(s); err != nil {
		return err
	}
	return ErrFaulty
}
