// Package cursor records how far an instance has read the platform's store, and decides what it reads next: all keys, the
// changes since the last read, or the catalogue of a peer.
//
// The store can be restored from a copy that is some seconds old. Its era then rises, and its revisions begin again at
// those of the copy, so that a revision says something only together with its era. Positions are ordered by era first.
package cursor
