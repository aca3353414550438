package router

import (
	"fmt"
	"testing"

	"dunlinloom/internal/fleetconfig"
	"dunlinloom/internal/kernel"
)

// BenchmarkAdmission measures requests from admission to their end. The service has many engines, and some of them are
// busy with other requests.
func BenchmarkAdmission(b *testing.B) {
	const engineCount, busyCount = 240, 40
	route := fleetconfig.Route{Name: "r", Host: "h.example", Prefix: "/", Splits: []fleetconfig.Split{{Service: "svc", Weight: 1}}, IsPinned: true, MaxAttempts: 3}
	config := fleetconfig.NewRouteConfig([]fleetconfig.Route{route}, []fleetconfig.Service{{Name: "svc", Slots: 8}})
	table := &RoutingTable{Config: config, Routers: 300}
	for i := range engineCount {
		table.Engines = append(table.Engines, Engine{ID: fmt.Sprintf("engine-%04d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Service: "svc"})
	}
	chooser := NewChooser("", "", RetryBudget{Ratio: 0.1, Window: 10 * kernel.Second})
	chooser.SetRoutingTable(table)
	now := 100 * kernel.Second
	admit := func(number int) *Call {
		now += 200 * kernel.Millisecond
		call, rejection := chooser.Admit(now, Request{
			ID: "q", PromptTokens: 400, MaxTokens: 60, ArrivedAt: now, Deadline: now + 10*kernel.Second, Route: &config.Routes[0], Service: "svc",
			Segments: []Segment{{fmt.Sprint("system", number%20), 64}, {fmt.Sprint("session", number%1000), 328}, {fmt.Sprint("own", number), 8}},
		})
		if rejection != nil {
			b.Fatal(rejection)
		}
		chooser.Sent(now, call.Attempt)
		chooser.Answered(now, call.Attempt, Load{Running: 2, Waiting: 1, Slots: 8}, true)
		return call
	}
	for i := range 4 * engineCount {
		call := admit(i)
		if i%(4*engineCount/busyCount) > 0 {
			chooser.Close(now, call.Attempt, Served, "")
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		chooser.Close(now, admit(i).Attempt, Served, "")
	}
}
