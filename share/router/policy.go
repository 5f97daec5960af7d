package router

import "dandelionstile/share/clock"

// Policy holds what operators may tune; a zero field means its default.
type Policy struct {
	// BudgetRatio is the number of hedges and retries that each request to a
	// service earns.
	BudgetRatio float64
	// BudgetReserve is the number of hedges and retries to one service that all
	// hosts together may save up: the sum of their budgets' capacities.
	BudgetReserve float64
	// Margin is how long before the target, less the round trip to the caller, an
	// answer is sent, in ms: the processing time of this process and of the caller.
	Margin clock.Milli
	// FarRegionPenalty is by how many ms a leaf in another region must be faster.
	FarRegionPenalty float64
	// MinHosts is the number of hosts that are assumed to share the leaves until
	// more are known.
	MinHosts int
	// Aggregators is the number of hosts of a failure domain that call its leaves.
	Aggregators int
	// MaxWaitShare is the longest wait for a free leaf, as a share of the route's
	// target.
	MaxWaitShare float64
}

// Defaults of Policy.
const (
	// defaultBudgetRatio leaves a twentieth of the operators' usual 0.2 for
	// requests that the bound counts at another host than the one that earned them.
	defaultBudgetRatio   = 0.19
	defaultBudgetReserve = 40
	// defaultMargin covers the wait for a busy processor.
	defaultMargin clock.Milli = 14
	// defaultFarRegionPenaltyMs balances bytes over expensive links against
	// answers in time.
	defaultFarRegionPenaltyMs = 60
	// defaultMinHosts keeps a host that knows no other from taking all
	// connections and the whole budget: with six, today's small deployments stay
	// within their limits however little is known.
	defaultMinHosts = 6
	// defaultAggregators is low, so that each measures the leaves well, and above
	// one, so that queries can avoid an aggregator that is busy or has failed.
	defaultAggregators = 4
	// defaultMaxWaitShare refuses a request that got no leaf within a quarter of
	// its target: little time is left to answer it, and its caller can still retry
	// in time.
	defaultMaxWaitShare = 0.25
)

func (p Policy) withDefaults() Policy {
	if p.BudgetRatio == 0 {
		p.BudgetRatio = defaultBudgetRatio
	}
	if p.BudgetReserve == 0 {
		p.BudgetReserve = defaultBudgetReserve
	}
	if p.Margin == 0 {
		p.Margin = defaultMargin
	}
	if p.FarRegionPenalty == 0 {
		p.FarRegionPenalty = defaultFarRegionPenaltyMs
	}
	if p.MinHosts == 0 {
		p.MinHosts = defaultMinHosts
	}
	if p.Aggregators == 0 {
		p.Aggregators = defaultAggregators
	}
	if p.MaxWaitShare == 0 {
		p.MaxWaitShare = defaultMaxWaitShare
	}
	return p
}
