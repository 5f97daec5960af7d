package cmds

import (
	"fmt"

	"dandelionstile/bench/slope"
)

func init() { register("capacity", &capacity{}) }

// capacity measures the cost lines behind docs/CAPACITY.md.
type capacity struct {
	Hosts []int `arg:"--hosts" help:"fleet sizes at which propagation is measured; 7 70 700 by default"`
}

// Help returns the description of the command.
func (*capacity) Help() string { return "measure the cost lines behind docs/CAPACITY.md" }

// Run prints the measured lines.
func (c *capacity) Run() error {
	for _, measure := range []func() slope.Line{
		slope.QueryDecisions, slope.CallDecisions, slope.LeafUpkeep, slope.WireBytes, slope.WireTime, slope.LinkTime, slope.LeafCallTime,
		slope.ParseAll, slope.ParseChange, slope.EntryChange, slope.AggregatorChange,
		slope.EntryMemory, slope.ConfigMemory, slope.CompressedSize,
	} {
		fmt.Println(measure())
	}
	if len(c.Hosts) == 0 {
		c.Hosts = []int{7, 70, 700}
	}
	for _, s := range slope.MeasurePropagation(c.Hosts...) {
		fmt.Printf("spread over %4d hosts: %5.1f platform reads/s, %5.0f bytes/s a host on average, %5.0f at most, in force everywhere after %d ms\n",
			s.Hosts, s.ReadsPerSecond, s.BytesPerSecond, s.MaxBytesPerSecond, s.Latency)
	}
	return nil
}
