package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The value factor is quota divided by rate, within bounds, with the quota divided by the size of the fleet.
// An unknown tenant must not cause an index out of range.
func TestValueFactorFollowsTenantQuota(t *testing.T) {
	var quotas tenantQuotas
	quotas.configure(&Settings{FleetSize: 4, ExcessValueRatio: 0.25,
		Tenants: []Tenant{{QuotaPerSecond: 40}, {QuotaPerSecond: 4}, {}}})
	for now := time.Duration(0); now < time.Minute; now += 50 * ms { // 20 requests per second of each tenant
		for tenant := range 3 {
			quotas.count(now, tenant)
		}
	}
	quotas.updateValueFactors(time.Minute)
	require.InDelta(t, 0.5, quotas.valueFactor(0), 0.02, "quota of 10 requests per second, rate of 20")
	require.InDelta(t, 0.25, quotas.valueFactor(1), 0, "the lower bound")
	require.InDelta(t, 1, quotas.valueFactor(2), 0, "no quota")
	quotas.updateValueFactors(2 * time.Minute)
	require.InDelta(t, 1, quotas.valueFactor(0), 0, "no more requests")
	require.Equal(t, 0, quotas.resolve(-1))
	require.Equal(t, 2, quotas.resolve(2))
	require.Equal(t, 0, quotas.resolve(3))
	quotas.configure(&Settings{}) // keeps the states of tenants
	require.Equal(t, 2, quotas.resolve(2))
	require.Zero(t, quotas.serverQuota(2))
	var none tenantQuotas
	none.configure(&Settings{})
	require.Equal(t, 0, none.resolve(5))
	require.InDelta(t, 1, none.valueFactor(0), 0)
}
