package queue

import (
	"cmp"
	"slices"
	"time"
)

// Queue orders waiting items by weighted fair share of their classes, first in first out in each.
type Queue[T any] struct {
	classes []*class[T]
	virtual float64
	size    int
}

type class[T any] struct {
	name   string
	weight float64
	finish float64
	items  []waiting[T]
}

type waiting[T any] struct {
	deadline time.Time
	item     T
}

// Len returns the number of waiting items.
func (queue *Queue[T]) Len() int {
	return queue.size
}

// Push appends an item to its class.
func (queue *Queue[T]) Push(name string, weight float64, deadline time.Time, item T) {
	class := queue.class(name)
	class.weight = weight
	if len(class.items) == 0 {
		class.finish = max(class.finish, queue.virtual)
	}
	class.items = append(class.items, waiting[T]{deadline, item})
	queue.size++
}

// Pop removes the next item of the class that is furthest below its share.
func (queue *Queue[T]) Pop() (T, bool) {
	best := queue.pick(func(a, b *class[T]) int { return cmp.Compare(a.finish, b.finish) })
	if best == nil {
		var none T
		return none, false
	}
	queue.virtual = best.finish
	best.finish += 1 / best.weight
	item := best.items[0].item
	best.items = slices.Delete(best.items, 0, 1)
	queue.size--
	return item, true
}

// Evict removes the newest item of the class that holds the most for its weight. A class keeps its only
// item as long as another has more, so that short queues do not starve light classes.
func (queue *Queue[T]) Evict() (T, bool) {
	worst := queue.pick(func(a, b *class[T]) int {
		if single := len(a.items) == 1; single != (len(b.items) == 1) {
			if single {
				return 1
			}
			return -1
		}
		return cmp.Compare(float64(len(b.items))/b.weight, float64(len(a.items))/a.weight)
	})
	if worst == nil {
		var none T
		return none, false
	}
	last := len(worst.items) - 1
	item := worst.items[last].item
	worst.items = slices.Delete(worst.items, last, last+1)
	queue.size--
	return item, true
}

// Expire removes the items whose deadline is not after now.
func (queue *Queue[T]) Expire(now time.Time) []T {
	return queue.remove(func(entry waiting[T]) bool { return !entry.deadline.After(now) })
}

// Remove removes the items that match.
func (queue *Queue[T]) Remove(match func(T) bool) []T {
	return queue.remove(func(entry waiting[T]) bool { return match(entry.item) })
}

func (queue *Queue[T]) remove(match func(waiting[T]) bool) []T {
	var removed []T
	for _, class := range queue.classes {
		class.items = slices.DeleteFunc(class.items, func(entry waiting[T]) bool {
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

// pick returns the first non-empty class in the order, ties by name.
func (queue *Queue[T]) pick(order func(a, b *class[T]) int) *class[T] {
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

func (queue *Queue[T]) class(name string) *class[T] {
	at, found := slices.BinarySearchFunc(queue.classes, name, func(class *class[T], name string) int {
		return cmp.Compare(class.name, name)
	})
	if !found {
		queue.classes = slices.Insert(queue.classes, at, &class[T]{name: name, weight: 1})
	}
	return queue.classes[at]
}
