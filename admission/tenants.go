package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	offeredTimeConstant = 8 * time.Second // of the rates at which tenants and all clients offer requests
	minOfferedRate      = 1e-9            // requests per second; least rate that is divided by
)

// tenantQuotas weighs requests by the quotas of their tenants: where a tenant offers more than its quota, the
// value of its requests falls so that no more than its quota counts in full.
type tenantQuotas struct {
	tenants          []Tenant
	fleetSize        int
	excessValueRatio float64 // least part of its value that a request keeps
	states           []tenantState
}

// tenantState is what one tenant offers of late.
type tenantState struct {
	offered     rolling.DecayingPair // First: requests that are not marked as retries
	valueFactor float64              // on the value of its requests, from 0 to 1
}

// configure takes over the quotas of settings. Tenants are identified by their index; there is at least one.
func (q *tenantQuotas) configure(settings *Settings) {
	q.tenants = settings.Tenants
	q.fleetSize = settings.FleetSize
	q.excessValueRatio = settings.ExcessValueRatio
	for len(q.states) < max(len(settings.Tenants), 1) {
		state := tenantState{offered: rolling.NewDecayingPair(offeredTimeConstant, 0, 0), valueFactor: 1}
		q.states = append(q.states, state)
	}
}

// known returns the index of a tenant, 0 for an unknown one.
func (q *tenantQuotas) known(tenant int) int {
	if tenant < 0 || tenant >= len(q.states) {
		return 0
	}
	return tenant
}

// count records a first attempt of a request at now.
func (q *tenantQuotas) count(now time.Duration, tenant int) { q.states[tenant].offered.Add(now, 1, 0) }

// valueFactor is the part of its value that a request of a tenant keeps, as of the last call of weigh.
func (q *tenantQuotas) valueFactor(tenant int) float64 { return q.states[tenant].valueFactor }

// weigh sets the value factors from what each tenant has offered until now.
func (q *tenantQuotas) weigh(now time.Duration) {
	for tenant := range q.states {
		state := &q.states[tenant]
		state.offered.DecayTo(now)
		state.valueFactor = 1
		if quota := q.serverQuota(tenant); quota > 0 {
			rate := state.offered.First / offeredTimeConstant.Seconds()
			state.valueFactor = min(1, max(quota/max(rate, minOfferedRate), q.excessValueRatio))
		}
	}
}

// serverQuota is the part of a tenant's quota that this server serves, in requests per second; 0: no quota.
func (q *tenantQuotas) serverQuota(tenant int) float64 {
	if tenant >= len(q.tenants) || q.tenants[tenant].QuotaPerSecond <= 0 {
		return 0
	}
	return q.tenants[tenant].QuotaPerSecond / float64(max(q.fleetSize, 1))
}
