package relay

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/lotusferry/lotusferry/internal/network/networktest"
	"github.com/lotusferry/lotusferry/structs"
)

// answerBytes listens on an address until the test ends and answers each write with one byte.
func answerBytes(c *qt.C, memory *networktest.Memory, address string) {
	c.Helper()
	listener, err := memory.Listen(c.Context(), address)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			buffer := make([]byte, 100)
			for {
				if _, err := conn.Read(buffer); err != nil {
					_ = conn.Close()
					break
				}
				_, _ = conn.Write(buffer[:1])
			}
		}
	}()
}

// trafficBytes returns the router's traffic by message, direction and nearness.
func trafficBytes(c *qt.C, registry *prometheus.Registry) map[[3]string]float64 {
	c.Helper()
	families, err := registry.Gather()
	c.Assert(err, qt.IsNil)
	values := make(map[[3]string]float64)
	for _, family := range families {
		if family.GetName() != "lotusferry_router_traffic_bytes_total" {
			continue
		}
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

// Bytes between regions must be seen as such, for runners by the zone of their address and for
// controllers once their zone is known.
func TestTrafficIsCountedByNearness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		memory := networktest.NewMemory(0)
		registry, dialer := prometheus.NewRegistry(), NewRunnerDialer(memory)
		r := New(Options{
			Logger: log.NewNopLogger(), Name: "router", Zone: "a1", Dialer: dialer, Metrics: registry,
			Regions: map[structs.ZoneID]string{"a1": "a", "a2": "a", "b1": "b"},
		})
		r.metrics.traffic.SetPeerZones(map[string]string{"10.0.0.1:1": "b1"})
		dialer.setZone("10.0.1.1:1", "b1")
		dialer.setZone("10.0.1.2:1", "a2")
		for address, size := range map[string]int{"10.0.1.1:1": 10, "10.0.1.2:1": 20, "10.0.1.3:1": 30} {
			answerBytes(c, memory, address)
			conn, err := dialer.DialContext(t.Context(), "tcp", address)
			c.Assert(err, qt.IsNil)
			_, err = conn.Write(make([]byte, size))
			c.Assert(err, qt.IsNil)
			_, err = conn.Read(make([]byte, size))
			c.Assert(err, qt.IsNil)
			c.Assert(conn.Close(), qt.IsNil)
		}
		r.metrics.traffic.AddMessage("10.0.0.1:1", "Domain.Watch", 5, 0)
		r.metrics.traffic.AddMessage("10.0.0.2:1", "Domain.Watch", 0, 7)
		c.Assert(trafficBytes(c, registry), qt.DeepEquals, map[[3]string]float64{
			{"runner", "sent", "beyond"}: 10, {"runner", "received", "beyond"}: 1,
			{"runner", "sent", "same_region"}: 20, {"runner", "received", "same_region"}: 1,
			{"runner", "sent", "unknown"}: 30, {"runner", "received", "unknown"}: 1,
			{"Domain.Watch", "sent", "beyond"}: 5, {"Domain.Watch", "received", "unknown"}: 7,
		})
	})
}
