package admission

const (
	// Number of newest entries of a class queue that are examined for the least valuable request.
	victimScanDepth = 16
	// A queued request is displaced only if its value density is below this fraction of the newcomer's.
	victimMargin = 0.8
	// Lower bound of the work, in seconds of a standard core, that a value is divided by.
	minWorkForValueDensity = 1e-3
	// Lower bound of the calls per run that a value is divided by.
	minCallsPerRun = 0.1
)

// resource is a resource that requests compete for.
type resource uint8

const (
	resourceCPU   resource = iota // time on the cores
	resourceCalls                 // calls to the dependency
)

func (r resource) String() string { return [...]string{"cpu", "calls"}[r] }

// rejectionReason returns the reason for rejecting a request because the resource is scarce.
func (r resource) rejectionReason() Reason {
	if r == resourceCalls {
		return ReasonDependency
	}
	return ReasonCPU
}

// requestValues computes the value of requests. The value of a request is the weight of its class, multiplied
// by its work if weightPerWork is set, and by the value factor of its tenant.
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

// density returns the value of a request per unit of the scarce resource that its run uses.
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

// competes reports whether requests of a class use the scarce resource.
func (v *requestValues) competes(class int, scarce resource) bool {
	return scarce == resourceCPU || v.classes[class].CallsDependency
}

// findVictim returns the queued request with the lowest value density of those that use the scarce resource,
// or nil if none is clearly below the density of newcomer (see victimMargin). Only the victimScanDepth newest
// entries of each class are examined. Of equally valued requests of a class it returns the newest.
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
