package queue

import (
	"cmp"
	"slices"
	"time"
)

// Queue is a weighted fair queue: its classes share the service in proportion to their weights, and the items of one
// class are served in order of arrival. The zero value is an empty queue; it is not safe for concurrent use.
type Queue[T any] struct {
	classes     []*class[T]
	virtualTime float64 // virtual time at which the item that was served last started
	size        int
}

type class[T any] struct {
	name          string
	weight        float64
	virtualFinish float64 // virtual time at which the last served item of the class ends; it starts 1/weight earlier
	items         []entry[T]
}

type entry[T any] struct {
	deadline time.Time
	item     T
}

// Len returns the number of waiting items.
func (queue *Queue[T]) Len() int {
	return queue.size
}

// Push appends an item to the named class and sets the weight of the class, which must be above 0. A class that was
// empty starts at the current virtual time, so that it earns no credit while it is idle.
func (queue *Queue[T]) Push(name string, weight float64, deadline time.Time, item T) {
	class := queue.class(name)
	class.weight = weight
	if len(class.items) == 0 {
		class.virtualFinish = max(class.virtualFinish, queue.virtualTime)
	}
	class.items = append(class.items, entry[T]{deadline, item})
	queue.size++
}

// Pop removes and returns the oldest item of the class that is furthest below its share; it returns false if the queue
// is empty.
func (queue *Queue[T]) Pop() (T, bool) {
	best := queue.firstClass(func(a, b *class[T]) int { return cmp.Compare(a.virtualFinish, b.virtualFinish) })
	if best == nil {
		var zero T
		return zero, false
	}
	queue.virtualTime = best.virtualFinish
	best.virtualFinish += 1 / best.weight
	item := best.items[0].item
	best.items = slices.Delete(best.items, 0, 1)
	queue.size--
	return item, true
}

// Evict removes and returns the newest item of the class that has the most items for its weight; it returns false if
// the queue is empty. A class keeps its only item as long as another class has more than one, so that short queues do
// not starve light classes.
func (queue *Queue[T]) Evict() (T, bool) {
	worst := queue.firstClass(func(a, b *class[T]) int {
		if single := len(a.items) == 1; single != (len(b.items) == 1) {
			if single {
				return 1
			}
			return -1
		}
		return cmp.Compare(float64(len(b.items))/b.weight, float64(len(a.items))/a.weight)
	})
	if worst == nil {
		var zero T
		return zero, false
	}
	last := len(worst.items) - 1
	item := worst.items[last].item
	worst.items = slices.Delete(worst.items, last, last+1)
	queue.size--
	return item, true
}

// Expire removes and returns the items whose deadline is not after now.
func (queue *Queue[T]) Expire(now time.Time) []T {
	return queue.remove(func(entry entry[T]) bool { return !entry.deadline.After(now) })
}

// Remove removes and returns the items that match.
func (queue *Queue[T]) Remove(match func(T) bool) []T {
	return queue.remove(func(entry entry[T]) bool { return match(entry.item) })
}

func (queue *Queue[T]) remove(match func(entry[T]) bool) []T {
	var removed []T
	for _, class := range queue.classes {
		class.items = slices.DeleteFunc(class.items, func(entry entry[T]) bool {
			if !match(entry) {
				return false
			}
			removed = append(removed, entry.item)
			return true
		})
	}
	queue.size -= len(removed)
	return removed
}

// firstClass returns the first non-empty class in the given order, or nil. Ties go to the lower name.
func (queue *Queue[T]) firstClass(order func(a, b *class[T]) int) *class[T] {
	var best *class[T]
	for _, class := range queue.classes {
		if len(class.items) == 0 {
			continue
		}
		if best == nil || order(class, best) < 0 {
			best = class
		}
	}
	return best
}

// class returns the named class and creates it if necessary.
func (queue *Queue[T]) class(name string) *class[T] {
	at, found := slices.BinarySearchFunc(queue.classes, name, func(class *class[T], name string) int {
		return cmp.Compare(class.name, name)
	})
	if !found {
		queue.classes = slices.Insert(queue.classes, at, &class[T]{name: name, weight: 1})
	}
	return queue.classes[at]
}
