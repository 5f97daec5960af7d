package router

import "dandelionstile/share/clock"

// Policy holds what operators may tune; a zero field takes its default.
type Policy struct {
	// BudgetRatio is how many second calls each request to a service earns.
	BudgetRatio float64
	// BudgetReserve is how many second calls to one service all hosts together may
	// save up.
	BudgetReserve float64
	// Margin is how long before its target, less the way to the caller, an
	// answer leaves, in ms: the turn of this process and its caller's.
	Margin clock.Milli
	// FarRegionPenalty is what a leaf in another region must be faster by, in ms.
	FarRegionPenalty float64
	// MinHosts is the least number of hosts that are taken to share the leafs,
	// until as many others are known.
	MinHosts int
	// Aggregators is how many hosts of a failure domain ask its leaves.
	Aggregators int
	// MaxWaitShare is the longest wait for a free leaf, as a share of the route's
	// target.
	MaxWaitShare float64
}

// Defaults of Policy.
const (
	// defaultRatio leaves a twentieth of the operators' usual 0.2 for requests
	// that the bound counts elsewhere than this host earned them.
	defaultRatio   = 0.19
	defaultReserve = 40
	// defaultMargin covers the wait for a processor that other work holds.
	defaultMargin clock.Milli = 14
	// defaultFarRegion is the knee between bytes over expensive links and
	// answers in time.
	defaultFarRegion = 60
	// defaultHosts keeps a host that knows no other from taking all
	// connections and second calls for itself: with six, the small
	// deployments of today stay within their limits however little is known.
	defaultHosts = 6
	// defaultAggregators are few, so that each knows the leaves well, and more
	// than one, so that queries can go round one that is busy or gone.
	defaultAggregators = 4
	// defaultPatience: a request that found no leaf within a quarter of its
	// target has little left to be answered in, and its caller is better sent
	// away while it can still come back in time.
	defaultPatience = 0.25
)

func (p Policy) filled() Policy {
	if p.BudgetRatio == 0 {
		p.BudgetRatio = defaultRatio
	}
	if p.BudgetReserve == 0 {
		p.BudgetReserve = defaultReserve
	}
	if p.Margin == 0 {
		p.Margin = defaultMargin
	}
	if p.FarRegionPenalty == 0 {
		p.FarRegionPenalty = defaultFarRegion
	}
	if p.MinHosts == 0 {
		p.MinHosts = defaultHosts
	}
	if p.Aggregators == 0 {
		p.Aggregators = defaultAggregators
	}
	if p.MaxWaitShare == 0 {
		p.MaxWaitShare = defaultPatience
	}
	return p
}
