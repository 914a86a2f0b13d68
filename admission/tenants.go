package admission

import (
	"time"

	"falldeal/admission/internal/rolling"
)

const (
	offeredTimeConstant = 8 * time.Second // of the request rates of tenants and of all clients
	minOfferedRate      = 1e-9            // requests per second; least rate that is divided by
)

// tenantQuotas reduces the value of requests whose tenant exceeds its quota. If a tenant sends more than its
// quota, the value factor of its requests falls to quota divided by rate, so that all its requests together
// count as much as those of a tenant at its quota.
type tenantQuotas struct {
	tenants          []Tenant      // as configured
	fleetSize        int           // number of servers that share the quotas
	excessValueRatio float64       // lower bound of a value factor
	states           []tenantState // indexed by tenant; entries are never removed
}

// tenantState holds the recent request rate of one tenant and the resulting value factor.
type tenantState struct {
	offered     rolling.DecayingPair // First: requests that are not marked as retries
	valueFactor float64              // factor on the value of the tenant's requests, from 0 to 1
}

// configure applies the quotas of settings. Tenants are identified by their index. Without configured tenants
// there is one, without a quota.
func (q *tenantQuotas) configure(settings *Settings) {
	q.tenants = settings.Tenants
	q.fleetSize = settings.FleetSize
	q.excessValueRatio = settings.ExcessValueRatio
	for len(q.states) < max(len(settings.Tenants), 1) {
		state := tenantState{offered: rolling.NewDecayingPair(offeredTimeConstant, 0, 0), valueFactor: 1}
		q.states = append(q.states, state)
	}
}

// resolve returns the index of a tenant, or 0 if the tenant is unknown.
func (q *tenantQuotas) resolve(tenant int) int {
	if tenant < 0 || tenant >= len(q.states) {
		return 0
	}
	return tenant
}

// count records the first attempt of a request.
func (q *tenantQuotas) count(now time.Duration, tenant int) { q.states[tenant].offered.Add(now, 1, 0) }

// valueFactor returns the factor on the value of a tenant's requests, as of the last updateValueFactors.
func (q *tenantQuotas) valueFactor(tenant int) float64 { return q.states[tenant].valueFactor }

// updateValueFactors sets the value factors from the request rates of the tenants at now.
func (q *tenantQuotas) updateValueFactors(now time.Duration) {
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

// serverQuota returns this server's share of a tenant's quota, in requests per second. 0 means no quota.
func (q *tenantQuotas) serverQuota(tenant int) float64 {
	if tenant >= len(q.tenants) || q.tenants[tenant].QuotaPerSecond <= 0 {
		return 0
	}
	return q.tenants[tenant].QuotaPerSecond / float64(max(q.fleetSize, 1))
}
