package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/lotusferry/lotusferry/placement/site"
)

// BenchmarkDraw measures a query for one request of one tenant by a router that holds too little.
func BenchmarkDraw(b *testing.B) {
	for _, tenants := range []int{16, 1000} {
		for _, routers := range []int{86, 300, 830} {
			b.Run(fmt.Sprintf("%d tenants, %d routers", tenants, routers), func(b *testing.B) {
				divider, names := benchmarkDivider(tenants), routerNames(routers)
				at := origin
				want := []Want{{Waiting: []float64{100}, Reserve: 400}}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					at = at.Add(time.Millisecond)
					want[0].Tenant = fmt.Sprint("t", i%tenants)
					if divider.RecordShortfalls(at, names[i%routers], want) {
						divider.Reserved(at, divider.Reserve(at))
					}
					divider.Draw(at, names[i%routers], want)
				}
			})
		}
	}
}

func benchmarkDivider(tenants int) *Divider {
	divider := New(origin, Bound{Window: 8 * time.Second, Overshoot: 0.1, Slack: 11000}, nil)
	var listed []site.Tenant
	for i := range tenants {
		listed = append(listed, site.Tenant{Name: fmt.Sprint("t", i), Limit: site.RateLimit{Unit: site.UnitTokens, Rate: 1e6, Burst: 1e6}})
	}
	divider.SetTenants(origin, listed)
	return divider
}

func routerNames(count int) []string {
	var names []string
	for i := range count {
		names = append(names, fmt.Sprint("r", i))
	}
	return names
}
