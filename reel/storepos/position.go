package storepos

import "cmp"

// Position identifies a state of the store.
type Position struct {
	Era      uint64 // rises each time the store is restored from a copy, 0 if the store does not report it
	Revision uint64 // rises with each change within an era
}

// Compare returns a negative number if the position is earlier than the other one, and a positive one if it is later.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}
