package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

// retransmit scales how often one item is told, times the logarithm of the fleet's size.
const retransmit = 3

// Queue holds items by key until each was told often enough; its zero value is ready.
type Queue[T any] struct {
	items []told[T]
}

type told[T any] struct {
	key   string
	item  T
	times int
}

// Put adds the item, in place of an older one with the same key.
func (queue *Queue[T]) Put(key string, item T) {
	queue.items = slices.DeleteFunc(queue.items, func(old told[T]) bool { return old.key == key })
	queue.items = append(queue.items, told[T]{key: key, item: item})
}

// Len returns the number of items still to be told.
func (queue *Queue[T]) Len() int {
	return len(queue.items)
}

// Take returns up to most items, the least told first, and counts them as told once.
func (queue *Queue[T]) Take(most, fleet int) []T {
	slices.SortStableFunc(queue.items, func(a, b told[T]) int { return cmp.Compare(a.times, b.times) })
	taken := make([]T, 0, min(most, len(queue.items)))
	for i := range min(most, len(queue.items)) {
		taken = append(taken, queue.items[i].item)
		queue.items[i].times++
	}
	limit := Limit(fleet)
	queue.items = slices.DeleteFunc(queue.items, func(item told[T]) bool { return item.times >= limit })
	return taken
}

// Limit returns how often an item is told in a fleet of the given size.
func Limit(fleet int) int {
	return retransmit * (1 + bits.Len(uint(fleet)))
}
