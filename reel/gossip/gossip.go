package gossip

import (
	"cmp"
	"math/bits"
	"slices"
)

// extraTransmissions is the number of transmissions of an item beyond the logarithm of the
// fleet's size. An instance receives each item about as often as each sends it, and misses
// it with a probability that falls exponentially with that number.
const extraTransmissions = 4

// Queue holds items by key until each was sent a number of times, such as TransmitLimit
// returns. Its zero value is an empty queue.
type Queue[T any] struct {
	items []entry[T]
}

type entry[T any] struct {
	key           string
	item          T
	transmissions int
}

// Put adds the item and replaces an older one with the same key.
func (queue *Queue[T]) Put(key string, item T) {
	queue.items = slices.DeleteFunc(queue.items, func(old entry[T]) bool { return old.key == key })
	queue.items = append(queue.items, entry[T]{key: key, item: item})
}

// Len returns the number of pending items.
func (queue *Queue[T]) Len() int {
	return len(queue.items)
}

// Take returns up to limit items for one transmission to a peer, those with the fewest
// transmissions first. It removes items that were sent transmitLimit times.
func (queue *Queue[T]) Take(limit, transmitLimit int) []T {
	slices.SortStableFunc(queue.items, func(a, b entry[T]) int { return cmp.Compare(a.transmissions, b.transmissions) })
	taken := make([]T, 0, min(limit, len(queue.items)))
	for i := range min(limit, len(queue.items)) {
		taken = append(taken, queue.items[i].item)
		queue.items[i].transmissions++
	}
	queue.items = slices.DeleteFunc(queue.items, func(item entry[T]) bool { return item.transmissions >= transmitLimit })
	return taken
}

// TransmitLimit returns how many times an item is sent in a fleet of the given size.
func TransmitLimit(fleet int) int {
	return extraTransmissions + bits.Len(uint(fleet))
}
