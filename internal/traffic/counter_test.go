package traffic

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
)

// countedBytes returns the values of a counter by message, direction and nearness.
func countedBytes(c *qt.C, counter *Counter) map[[3]string]float64 {
	c.Helper()
	registry := prometheus.NewRegistry()
	c.Assert(registry.Register(counter), qt.IsNil)
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	values := make(map[[3]string]float64)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			labels := make(map[string]string)
			for _, label := range metric.GetLabel() {
				labels[label.GetName()] = label.GetValue()
			}
			values[[3]string{labels["message"], labels["direction"], labels["nearness"]}] = metric.GetCounter().GetValue()
		}
	}
	return values
}

var testRegions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// Traffic of unknown nearness must not be taken for cheap or dear.
func TestNearness(t *testing.T) {
	for _, test := range []struct {
		name, own, other string
		want             Nearness
	}{
		{"same zone", "a1", "a1", NearnessSameZone},
		{"same zone without a region", "x", "x", NearnessSameZone},
		{"same region", "a1", "a2", NearnessSameRegion},
		{"another region", "a1", "b1", NearnessBeyond},
		{"peer without a zone", "a1", "", NearnessUnknown},
		{"process without a zone", "", "", NearnessUnknown},
		{"peer without a region", "a1", "x", NearnessUnknown},
		{"process without a region", "x", "a1", NearnessUnknown},
		{"two zones without regions", "x", "y", NearnessUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, NewCounter("router", test.own, testRegions).NearnessOf(test.other), qt.Equals, test.want)
		})
	}
}

func TestBytesAreCountedByDirectionAndNearness(t *testing.T) {
	c := qt.New(t)
	counter := NewCounter("router", "a1", testRegions)
	counter.Add("Domain.Watch", "b1", 80, 0)
	counter.Add("Domain.Watch", "b1", 0, 400)
	counter.Add("Domain.Watch", "b1", 5, 50)
	c.Assert(countedBytes(c, counter), qt.DeepEquals, map[[3]string]float64{
		{"Domain.Watch", "sent", "beyond"}: 85, {"Domain.Watch", "received", "beyond"}: 450,
	})
}

func TestConnectionsAreCounted(t *testing.T) {
	c := qt.New(t)
	counter := NewCounter("router", "a1", testRegions)
	near, far := net.Pipe()
	conn := counter.Conn(near, "runner", "a2")
	go func() {
		buffer := make([]byte, 5)
		_, _ = far.Read(buffer)
		_, _ = far.Write(buffer[:3])
		_ = far.Close()
	}()
	_, err := conn.Write([]byte("hello"))
	c.Assert(err, qt.IsNil)
	count, err := conn.Read(make([]byte, 10))
	c.Assert(err, qt.IsNil)
	c.Assert(count, qt.Equals, 3)
	c.Assert(conn.Close(), qt.IsNil)
	c.Assert(countedBytes(c, counter), qt.DeepEquals, map[[3]string]float64{
		{"runner", "sent", "same_region"}: 5, {"runner", "received", "same_region"}: 3,
	})
}
