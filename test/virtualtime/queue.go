package virtualtime

import (
	"container/heap"

	"dunlinloom/internal/kernel"
)

// Event is a function that is to run at a time of the virtual clock.
type Event struct {
	At    kernel.Micros
	Run   func()
	order uint64 // how many events had been added with it
}

// Queue holds events in the order in which they run: by their time, and events of the same
// time as they were added. The zero value is an empty queue. One goroutine at a time may use it.
type Queue struct {
	events eventHeap
	added  uint64
}

// Add puts an event into the queue. A time before that of the last event that was removed is not
// rejected: the event is the next one then.
func (q *Queue) Add(at kernel.Micros, run func()) {
	q.added++
	heap.Push(&q.events, Event{At: at, Run: run, order: q.added})
}

// Next removes and gives the first event of the queue, if its time is not after the end.
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

// Push is called by container/heap alone, with the events of Queue.Add.
func (h *eventHeap) Push(value any) {
	event, isEvent := value.(Event)
	if !isEvent {
		panic("virtualtime: pushed value is no event")
	}
	*h = append(*h, event)
}

// Pop is called by container/heap alone.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
