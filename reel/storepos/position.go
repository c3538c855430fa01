package storepos

import "cmp"

// Position identifies a state of the store.
type Position struct {
	Era      uint64 // rises each time the store is restored from a copy, 0 if the store does not report it
	Revision uint64 // rises with each change within an era
}

// IsKnown reports whether the position is that of a state of the store; the zero value is not.
func (position Position) IsKnown() bool { return position != Position{} }

// IsAfter reports whether both positions are known, and this one is later.
func (position Position) IsAfter(other Position) bool {
	return position.IsKnown() && other.IsKnown() && position.Compare(other) > 0
}

// IsSameEra reports whether both positions are known and of one era, so that the revisions tell which one is later.
func (position Position) IsSameEra(other Position) bool {
	return position.IsKnown() && other.IsKnown() && position.Era == other.Era
}

// Latest returns the later one of the two positions.
func (position Position) Latest(other Position) Position {
	if position.Compare(other) < 0 {
		return other
	}
	return position
}

// Compare returns a negative number if the position is earlier than the other one, and a positive one if it is later.
func (position Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(position.Era, other.Era), cmp.Compare(position.Revision, other.Revision))
}
