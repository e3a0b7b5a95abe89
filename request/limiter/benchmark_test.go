package limiter

import (
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/placement/quota"
	"github.com/lotusferry/lotusferry/placement/site"
)

// BenchmarkAdmit measures decisions by the held share.
func BenchmarkAdmit(b *testing.B) {
	limiter := New()
	limiter.SetTenants([]site.Tenant{{Name: "t", Limit: site.RateLimit{Unit: site.UnitTokens, Rate: 1e6, Burst: 1e6}}})
	at := time.Unix(1000, 0)
	limiter.Adopt(at, at, []quota.Grant{{Tenant: "t", Amount: 1e12, Keep: 1e12}})
	waiter := &Waiter{Tenant: "t", Cost: 1, Unit: site.UnitTokens}
	b.ReportAllocs()
	for b.Loop() {
		if _, isDecided := limiter.Admit(at, waiter); !isDecided {
			b.Fatal("nothing is left")
		}
	}
}
