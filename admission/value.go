package admission

const (
	victimScanDepth        = 16   // requests examined from the back of a queue for the least valuable
	victimMargin           = 0.8  // a queued request yields to one worth more than 1/victimMargin of it
	minWorkForValueDensity = 1e-3 // seconds; a request with less work is valued as if it had this much
	minCallsPerRun         = 0.1  // least calls per run that a request is valued by
)

// resource is what requests compete for.
type resource uint8

const (
	resourceCPU   resource = iota // time on the cores
	resourceCalls                 // calls to the dependency
)

func (r resource) String() string { return [...]string{"cpu", "calls"}[r] }

// rejectionReason is why a request is rejected that the resource does not suffice for.
func (r resource) rejectionReason() Reason {
	if r == resourceCalls {
		return ReasonDependency
	}
	return ReasonCPU
}

// requestValues tells what requests are worth. A request's value is the weight of its class, for each unit of
// its work if so configured, times the part of it that its tenant's quota leaves.
type requestValues struct {
	classes       []Class
	weightPerWork bool
	quotas        tenantQuotas
	estimator     *estimator
}

func (v *requestValues) configure(settings *Settings) {
	v.classes = settings.Classes
	v.weightPerWork = settings.WeightPerWork
	v.quotas.configure(settings)
}

// density is the value of a request for each unit that its run takes of a scarce resource.
func (v *requestValues) density(request *request, scarce resource) float64 {
	value := v.classes[request.class].PriorityWeight * v.quotas.valueFactor(request.tenant)
	if v.weightPerWork {
		value *= request.work
	}
	if scarce == resourceCalls {
		return value / max(v.estimator.callsPerRun(request.class), minCallsPerRun)
	}
	return value / max(request.work, minWorkForValueDensity)
}

// competes reports whether requests of a class use a scarce resource.
func (v *requestValues) competes(class int, scarce resource) bool {
	return scarce == resourceCPU || v.classes[class].CallsDependency
}

// findVictim returns the queued request that uses a scarce resource and is worth least for each unit of it,
// if that is clearly less than newcomer is worth, or nil. Of requests of a class that are worth as much it is
// the newest.
func (v *requestValues) findVictim(queue *requestQueue, newcomer *request, scarce resource) *request {
	density := func(candidate *request) float64 { return v.density(candidate, scarce) }
	var victim *request
	lowest := density(newcomer) * victimMargin
	for class := range queue.classes {
		if !v.competes(class, scarce) {
			continue
		}
		candidate, value := queue.lowestValued(class, victimScanDepth, lowest, density)
		if candidate != nil {
			victim = candidate
			lowest = value
		}
	}
	return victim
}
