package virtualtime

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func TestEventsRunByTimeAndThenAsAdded(t *testing.T) {
	c := qt.New(t)
	var queue Queue
	var ran []string
	add := func(at kernel.Micros, name string) {
		queue.Add(at, func() { ran = append(ran, name) })
	}
	add(20, "late")
	add(10, "first")
	add(10, "second")
	add(31, "after the end")
	queue.Add(15, func() { add(15, "added meanwhile") })

	var times []kernel.Micros
	for event, isThere := queue.Next(30); isThere; event, isThere = queue.Next(30) {
		times = append(times, event.At)
		event.Run()
	}

	c.Check(ran, qt.DeepEquals, []string{"first", "second", "added meanwhile", "late"})
	c.Check(times, qt.DeepEquals, []kernel.Micros{10, 10, 15, 15, 20})
	_, isThere := queue.Next(30)
	c.Check(isThere, qt.IsFalse)
	event, isThere := queue.Next(31)
	c.Check(isThere, qt.IsTrue)
	c.Check(event.At, qt.Equals, kernel.Micros(31))
}
