// Package virtualtime is the event queue of simulations: functions that run at moments of a
// clock which nothing but the queue's own events moves.
package virtualtime

import (
	"container/heap"

	"dunlinloom/internal/kernel"
)

// Event is a function that is to run at a moment.
type Event struct {
	At    kernel.Micros
	Run   func()
	order uint64
}

// Queue holds events in the order in which they run: by their moment, and events of one
// moment as they were added. The zero value is an empty queue.
type Queue struct {
	events eventHeap
	added  uint64
}

// Add puts an event into the queue.
func (q *Queue) Add(at kernel.Micros, run func()) {
	q.added++
	heap.Push(&q.events, Event{At: at, Run: run, order: q.added})
}

// Next takes the first event out of the queue, if its moment is not after the end.
func (q *Queue) Next(end kernel.Micros) (event Event, isThere bool) {
	if len(q.events) == 0 || q.events[0].At > end {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
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

func (h *eventHeap) Push(event any) { *h = append(*h, event.(Event)) }

func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	*h = (*h)[:last]
	return event
}
