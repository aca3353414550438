package virtualtime

import (
	"container/heap"

	"dunlinloom/internal/kernel"
)

// Event is a function to run at a time of the virtual clock.
type Event struct {
	At    kernel.Micros
	Run   func()
	order uint64 // number of events added so far, including this one
}

// Queue orders events by their time, and events of the same time by the order in which they were
// added. The zero value is an empty queue. It is not safe for concurrent use.
type Queue struct {
	events eventHeap
	added  uint64
}

// Add adds an event to the queue. A time before that of the last removed event is accepted; such an
// event runs before all later ones.
func (q *Queue) Add(at kernel.Micros, run func()) {
	q.added++
	heap.Push(&q.events, Event{At: at, Run: run, order: q.added})
}

// Next removes and returns the first event of the queue, unless its time is after the end. It reports
// whether there was such an event.
func (q *Queue) Next(end kernel.Micros) (event Event, isThere bool) {
	if len(q.events) == 0 || q.events[0].At > end {
		return Event{}, false
	}
	event = q.events[0]
	heap.Pop(&q.events)
	return event, true
}

// eventHeap orders events for container/heap.
type eventHeap []Event

func (h eventHeap) Len() int      { return len(h) }
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h eventHeap) Less(i, j int) bool {
	if h[i].At != h[j].At {
		return h[i].At < h[j].At
	}
	return h[i].order < h[j].order
}

// Push implements heap.Interface. Only container/heap calls it, with the events of Queue.Add.
func (h *eventHeap) Push(value any) {
	event, isEvent := value.(Event)
	if !isEvent {
		panic("virtualtime: the pushed value is not an Event")
	}
	*h = append(*h, event)
}

// Pop implements heap.Interface. Only container/heap calls it.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
